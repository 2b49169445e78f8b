package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

// A job's progress is one row as long as it fits. That of a wide job has no room there for what is recorded of single tasks: failed runs,
// checkpoints and crashes. These go into detail rows, each for a range of a step's tasks. Each detail row is valid by itself, so that they
// need not be written in the transaction of the job's progress row.

const (
	// tasksPerDetailRow is the range of tasks of a detail row, unless their details exceed a row.
	tasksPerDetailRow = 256
	// minTaskBytes is the least that the details of a task take.
	minTaskBytes = len(`{"i":9,"c":"x"},`)
)

// detailRow is a row with details of a job's tasks. The value is decoded when the job is loaded.
type detailRow struct {
	value   []byte
	version uint64
}

// encodedProgress is the progress of one job as rows.
type encodedProgress struct {
	progress []byte
	// details are the detail rows by name.
	details map[string][]byte
}

// encodeProgress returns the rows of a job's progress, each with a value of at most maxRow bytes where that is possible.
func encodeProgress(id graph.JobID, p dispatch.Progress, maxRow int) encodedProgress {
	tasks := 0
	for _, s := range p.Steps {
		tasks += len(s.Tasks)
	}
	if tasks*minTaskBytes <= maxRow {
		if whole := encode(p); len(whole) <= maxRow {
			return encodedProgress{progress: whole}
		}
	}
	out := encodedProgress{details: make(map[string][]byte)}
	steps := p.Steps
	p.Steps = make([]dispatch.StepProgress, 0, len(steps))
	for _, s := range steps {
		out.addDetails(id, s, maxRow)
		s.Tasks = nil
		p.Steps = append(p.Steps, s)
	}
	out.progress = encode(p)
	return out
}

// addDetails adds the detail rows of a step.
func (e *encodedProgress) addDetails(id graph.JobID, s dispatch.StepProgress, maxRow int) {
	for tasks := s.Tasks; len(tasks) > 0; {
		from := tasks[0].Index - tasks[0].Index%tasksPerDetailRow
		n := slices.IndexFunc(tasks, func(t dispatch.TaskProgress) bool { return t.Index >= from+tasksPerDetailRow })
		if n < 0 {
			n = len(tasks)
		}
		e.addDetailRow(id, s, tasks[:n], from, tasksPerDetailRow, maxRow)
		tasks = tasks[n:]
	}
}

// addDetailRow adds the detail row of size tasks from the one with the index from, or two of half the size if it exceeds a row. A single
// checkpoint that exceeds one is not recorded.
func (e *encodedProgress) addDetailRow(id graph.JobID, s dispatch.StepProgress, tasks []dispatch.TaskProgress, from, size, maxRow int) {
	if len(tasks) == 0 {
		return
	}
	value := encode(dispatch.StepProgress{Occurrence: s.Occurrence, Step: s.Step, Tasks: tasks})
	switch {
	case len(value) <= maxRow:
		e.details[detailRowName(id, s.Occurrence, s.Step, from)] = value
	case size > 1:
		half := from + size/2
		n, _ := slices.BinarySearchFunc(tasks, half, func(t dispatch.TaskProgress, index int) int { return t.Index - index })
		e.addDetailRow(id, s, tasks[:n], from, size/2, maxRow)
		e.addDetailRow(id, s, tasks[n:], half, size-size/2, maxRow)
	case tasks[0].Checkpoint != "":
		without := tasks[0]
		without.Checkpoint = ""
		e.addDetailRow(id, s, []dispatch.TaskProgress{without}, from, size, maxRow)
	}
}

// detailRowName returns the name of the detail row of a step's tasks from the one with the given index.
func detailRowName(id graph.JobID, occurrence, step, from int) string {
	return fmt.Sprintf("%s%s/%d.%d.%d", detailPrefix, id, occurrence, step, from)
}

func detailKey(name string) rowstore.Key { return rowstore.Key{Table: progressTable, Name: name} }

// progressChanges adds the rows of a job's progress to put and delete: its progress row, the detail rows that differ from those that the
// replica has, or all of them if rewrite is set, and the removal of those that are no longer needed.
func (r *Replica) progressChanges(id graph.JobID, p dispatch.Progress, rewrite bool, changes *rowChanges) {
	encoded := encodeProgress(id, p, r.maxRowBytes)
	changes.put(progressKey(id), encoded.progress)
	recorded := r.details(id)
	for _, name := range slices.Sorted(maps.Keys(encoded.details)) {
		if value := encoded.details[name]; rewrite || !bytes.Equal(recorded[name].value, value) {
			changes.put(detailKey(name), value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(recorded)) {
		if _, needed := encoded.details[name]; !needed {
			changes.delete(detailKey(name))
		}
	}
}

// details returns the detail rows of a job. The caller must not change them.
func (r *Replica) details(id graph.JobID) map[string]detailRow {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if j := r.jobs[id]; j != nil {
		return j.details
	}
	return nil
}

// applyDetail applies a change of a detail row, whose name without the prefix is given. The caller holds mu.
func (r *Replica) applyDetail(name string, change rowstore.Change) {
	id, _, ok := strings.Cut(name, "/")
	if !ok {
		return
	}
	j := r.jobs[graph.JobID(id)]
	if change.Removed && (j == nil || j.details[change.Name].value == nil) {
		return
	}
	j = r.ensureJob(graph.JobID(id))
	if j.details[change.Name].version >= change.Version {
		return
	}
	details := maps.Clone(j.details) // copies of the job share the map
	if details == nil {
		details = make(map[string]detailRow)
	}
	if change.Removed {
		delete(details, change.Name)
	} else {
		details[change.Name] = detailRow{change.Value, change.Version}
	}
	j.details = details
	r.forgetUnknown(graph.JobID(id))
}

// forgetUnknown removes a job of which the replica has nothing any more. The caller holds mu.
func (r *Replica) forgetUnknown(id graph.JobID) {
	if j := r.jobs[id]; j != nil && !j.hasRecord && !j.Cancelled && j.Progress == nil && len(j.details) == 0 {
		delete(r.jobs, id)
	}
}

// FullProgress returns the job's progress with what the detail rows hold, nil if there is none. Details that can't be decoded are left out,
// and returned as an error.
func (j *Job) FullProgress() (*dispatch.Progress, error) {
	if j.Progress == nil || len(j.details) == 0 || j.Progress.State.Ended() {
		return j.Progress, nil
	}
	type stepKey struct{ occurrence, step int }
	full := *j.Progress
	full.Steps = slices.Clone(full.Steps)
	at := make(map[stepKey]int)
	for i, s := range full.Steps {
		at[stepKey{s.Occurrence, s.Step}] = i
	}
	var invalid error
	for _, name := range slices.Sorted(maps.Keys(j.details)) {
		var detail dispatch.StepProgress
		if err := json.Unmarshal(j.details[name].value, &detail); err != nil {
			invalid = fmt.Errorf("detail row %s: %w", name, err)
			continue
		}
		key := stepKey{detail.Occurrence, detail.Step}
		i, known := at[key]
		if !known {
			i = len(full.Steps)
			at[key] = i
			full.Steps = append(full.Steps, dispatch.StepProgress{Occurrence: detail.Occurrence, Step: detail.Step})
		}
		full.Steps[i].Tasks = slices.Concat(full.Steps[i].Tasks, detail.Tasks)
		slices.SortFunc(full.Steps[i].Tasks, func(a, b dispatch.TaskProgress) int { return a.Index - b.Index })
	}
	return &full, invalid
}

// rowChanges are the rows that a commit writes and removes.
type rowChanges struct {
	puts    []rowstore.Row
	deletes []rowstore.Key
}

func (c *rowChanges) put(key rowstore.Key, value []byte) {
	c.puts = append(c.puts, rowstore.Row{Key: key, Value: value})
}

func (c *rowChanges) delete(key rowstore.Key) { c.deletes = append(c.deletes, key) }

// Bounds of one transaction, with room for the ownership row and its condition.
const (
	maxChangesPerTx = rowstore.MaxTxEntries - 2
	// maxTxBytes keeps a transaction short on a VM with a slow link: its answer is waited for for commitTimeout.
	maxTxBytes = 256 << 10
)

// take removes from the changes what fits into one transaction, and adds it to tx.
func (c *rowChanges) take(tx *rowstore.Tx) {
	entries, size := 0, 0
	for len(c.puts) > 0 && entries < maxChangesPerTx {
		size += c.puts[0].TxBytes()
		if size > maxTxBytes && entries > 0 {
			return
		}
		tx.Put = append(tx.Put, c.puts[0])
		c.puts = c.puts[1:]
		entries++
	}
	n := min(len(c.deletes), maxChangesPerTx-entries)
	tx.Delete = append(tx.Delete, c.deletes[:n]...)
	c.deletes = c.deletes[n:]
}

func (c *rowChanges) empty() bool { return len(c.puts) == 0 && len(c.deletes) == 0 }
