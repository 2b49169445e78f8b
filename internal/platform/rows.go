package platform

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// EncodeRow returns the JSON of a row's value. A value that can't be encoded is a broken invariant.
func EncodeRow(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("platform: a row always encodes: %v", err))
	}
	return data
}

// DecodeRow decodes the row's value into v. A row that does not exist leaves v as it is.
func DecodeRow(row Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	return merry.Prependf(json.Unmarshal(row.Value, v), "row %s", row.Key)
}

// ReadRow decodes the row of key into v and returns its version, 0 if there is no such row.
// Errors: ErrUnavailable; any other for a row that can't be decoded.
func ReadRow(ctx context.Context, table Table, key string, v any) (uint64, error) {
	row, err := table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return row.Version, DecodeRow(row, v)
}
