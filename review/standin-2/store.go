package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the users' protocol names them.
const (
	pageRows         = 500
	maxTxEntries     = 100
	heartbeat        = 1500 * time.Millisecond
	missedHeartbeats = 3
)

// row is a row of the store, in the protocol's JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) name() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is the platform's store of rows, in memory.
type store struct {
	begun time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]row
	changes []row
	changed chan struct{}
	// heard is when each runner last wrote its entry.
	heard map[string]time.Time
	// lost tells which writes get no answer and are performed late; nil for none. writes and lostWrites count while it is set.
	lost               func(row) bool
	late               time.Duration
	writes, lostWrites int
	// onLate is called with what became of a late write.
	onLate func(applied bool)
}

// loseAnswers lets the writes for which lost is true get no answer. They are performed after the given time, if their conditions still hold.
func (s *store) loseAnswers(lost func(row) bool, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.late = lost, late
}

// isLost counts a transaction and reports whether its answer gets lost.
func (s *store) isLost(tx tx) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == nil {
		return false
	}
	s.writes++
	if !slices.ContainsFunc(tx.Writes, s.lost) {
		return false
	}
	s.lostWrites++
	return true
}

// tx is a transaction.
type tx struct{ Expect, Writes, Remove []row }

func newStore() *store {
	return &store{begun: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{}), heard: make(map[string]time.Time)}
}

// write applies a row at the current version. The caller holds the lock.
func (s *store) write(r row) {
	r.Ver = s.ver
	if r.Removed {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == "servers" {
		s.heard[key] = time.Now()
	}
	s.ver++
	s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// removeSilent removes the entries of runners that have missed their heartbeats. It never returns.
func (s *store) removeSilent() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.heard {
			if time.Since(at) > missedHeartbeats*heartbeat {
				delete(s.heard, id)
				s.ver++
				s.write(row{Table: "servers", Key: id, Removed: true})
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		s.serveTx(w, r)
	case "/api/rows-get":
		s.serveGet(w, r)
	case "/api/rows-parts":
		s.serveParts(w, r)
	case "/api/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	if _, ok := fields["ver"]; !ok {
		fields["ver"] = s.ver
	}
	fields["now_ms"] = time.Since(s.begun).Milliseconds()
	answerJSON(w, status, fields)
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var t tx
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Writes)+len(t.Remove) > maxTxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, change := range slices.Concat(t.Writes, t.Remove) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if s.isLost(t) {
		time.AfterFunc(s.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, conflict := s.apply(t)
			s.onLate(!conflict)
		})
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, conflict := s.apply(t); conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

// apply applies a transaction unless a row has another version than it expects; current are the rows that it expects. The caller holds the
// lock.
func (s *store) apply(t tx) (current []row, conflict bool) {
	current = []row{}
	for _, e := range t.Expect {
		found, ok := s.rows[e.name()]
		if ok {
			current = append(current, found)
		}
		conflict = conflict || found.Ver != e.Ver
	}
	if conflict {
		return current, true
	}
	s.ver++
	for _, change := range t.Writes {
		s.write(change)
	}
	for _, change := range t.Remove {
		change.Removed, change.Value = true, ""
		s.write(change)
	}
	return current, false
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for name, found := range s.rows {
		inRange := name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to"))
		if name.table == q.Get("table") && name.part == q.Get("part") && inRange {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "has_more": more})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for name := range s.rows {
		if name.table == r.URL.Query().Get("table") && name.part > r.URL.Query().Get("after") && !slices.Contains(parts, name.part) {
			parts = append(parts, name.part)
		}
	}
	slices.Sort(parts)
	s.answer(w, http.StatusOK, map[string]any{"parts": parts})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64) // 0 if it is missing
	wait, _ := strconv.Atoi(q.Get("wait_ms"))             // likewise
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		rows, ver := []row{}, s.ver
		for _, change := range s.changes {
			if change.Table == q.Get("table") && change.Ver > after {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || waited {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}
