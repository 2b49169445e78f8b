package platformapi

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// EncodeRow returns the JSON of a row's value. It panics if the value can't be encoded, which is a programming error.
func EncodeRow(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("platformapi: row value can't be encoded: %v", err))
	}
	return data
}

// DecodeRow decodes the row's value into v. It leaves v unchanged if the row does not exist.
func DecodeRow(row Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	return merry.Prependf(json.Unmarshal(row.Value, v), "decode row %s", row.Key)
}

// ReadRow decodes the row of key into v and returns its version, 0 if there is no such row.
// Errors: ErrUnavailable, or another error if the row's value can't be decoded.
func ReadRow(ctx context.Context, table Table, key string, v any) (uint64, error) {
	row, err := table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return row.Version, DecodeRow(row, v)
}
