package owner

import (
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/rowstore"
)

// RegistryDecoder decodes the rows of a worker registry, which others write. A row that can't be decoded, or that is out of range, names no
// worker: its worker, if it had one, is no longer registered. It is logged when it becomes invalid, not each time it is written. It is safe
// for concurrent use.
type RegistryDecoder struct {
	Log *log.Logger
	// DecodeRow decodes the value of the named row.
	DecodeRow func(name string, value []byte) (dispatch.Worker, error)

	mu sync.Mutex
	// invalid holds the names of the rows that are invalid.
	invalid map[string]struct{}
}

var errOtherID = errors.New("the id is not the row's name")

// Decode returns the change of the registry that an update of its table stands for.
func (d *RegistryDecoder) Decode(u rowstore.Update) RegistryChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.invalid
	if u.Full || before == nil {
		d.invalid = make(map[string]struct{})
	}
	change := RegistryChange{Full: u.Full}
	for _, row := range u.Changes {
		id := dispatch.WorkerID(row.Name)
		if row.Removed {
			delete(d.invalid, row.Name)
			change.Removed = append(change.Removed, id)
			continue
		}
		w, err := d.decodeRow(row.Row)
		if err == nil {
			delete(d.invalid, row.Name)
			change.Put = append(change.Put, w)
			continue
		}
		if _, known := before[row.Name]; !known {
			d.Log.Warn().Str("worker", row.Name).Uint64("version", row.Version).Err(err).Msg("invalid entry of the worker registry skipped")
		}
		d.invalid[row.Name] = struct{}{}
		change.Removed = append(change.Removed, id)
	}
	return change
}

func (d *RegistryDecoder) decodeRow(row rowstore.Row) (dispatch.Worker, error) {
	w, err := d.DecodeRow(row.Name, row.Value)
	if err != nil {
		return dispatch.Worker{}, err
	}
	if string(w.ID) != row.Name {
		return dispatch.Worker{}, errOtherID
	}
	return w, w.Validate(time.Duration(time.Now().UnixNano()))
}
