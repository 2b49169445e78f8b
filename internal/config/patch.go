package config

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"regexp"
	"slices"

	"github.com/cespare/xxhash/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Patch is an operator's change to one version of the document.
type Patch struct {
	// ID names the patch. A patch that is sent again under the same id takes effect once.
	ID string
	// Base is the number of the version that the patch changes.
	Base uint64
	// Merge is a JSON merge patch (RFC 7396) of the document of version Base.
	Merge []byte
}

var patchIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// validate returns the first error in the patch itself, or nil.
func (p Patch) validate() error {
	if !patchIDPattern.MatchString(p.ID) {
		return fmt.Errorf("patch id %q is not 1 to 128 letters, digits, dots, underscores, colons or hyphens", p.ID)
	}
	if p.Base == 0 {
		return errors.New("base version is missing")
	}
	if len(p.Merge) > maxDocumentBytes {
		return fmt.Errorf("merge patch is larger than %d bytes", maxDocumentBytes)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(p.Merge), []byte("{")) {
		return errors.New("merge patch is not a JSON object")
	}
	return nil
}

// digest is a hash of the patch's content, by which the use of one id for two patches is detected.
func (p Patch) digest() uint64 {
	hash := xxhash.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], p.Base)
	_, _ = hash.Write(base[:]) // a hash's Write never fails
	_, _ = hash.Write(p.Merge)
	return hash.Sum64()
}

// apply returns the patched document after validating it as a whole. The error says what is wrong with the patch.
func (p Patch) apply(base Document) (Document, error) {
	if err := p.validate(); err != nil {
		return Document{}, err
	}
	merged, err := jsonpatch.MergePatch(base.Encode(), p.Merge)
	if err != nil {
		return Document{}, err
	}
	next, err := parse(merged)
	if err != nil {
		return Document{}, err
	}
	return next, checkTransition(base, next)
}

// checkTransition returns an error if next changes a field that version 1 fixed.
func checkTransition(base, next Document) error {
	if !slices.Equal(base.Zones, next.Zones) {
		return errors.New("zones are fixed by version 1")
	}
	if base.CellShards != next.CellShards {
		return errors.New("cell_shards is fixed by version 1")
	}
	if base.ShardsPerZone != next.ShardsPerZone {
		return errors.New("shards_per_zone is fixed by version 1")
	}
	return nil
}
