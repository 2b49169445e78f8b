package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as its pages and the settings file state them.
const (
	txTime       = 4 * time.Millisecond
	rowBytes     = 65536
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

// row is a row of the store. Removed is set by the feed only.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type rowsAnswer struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Ver     uint64  `json:"ver"`
	NowMS   float64 `json:"now_ms"`
}

// store is the platform's store: rows in memory with a feed of changes.
type store struct {
	record  *record
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	changes []row
	changed chan struct{}
	// parts serialise the transactions of each part.
	parts map[string]*sync.Mutex
	// tooLarge counts the writes that were refused because a row was over rowBytes.
	tooLarge int
}

func newStore(rec *record) *store {
	return &store{record: rec, started: time.Now(), rows: make(map[string]row), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: data})
}

// write applies a row at the current version. The caller holds mu.
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

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		s.serveTx(w, r)
	case "/api/rows-get":
		reply(w, http.StatusOK, s.get(r))
	case "/api/rows-parts":
		reply(w, http.StatusOK, map[string]any{"parts": s.listParts(r), "has_more": false})
	case "/api/rows-feed":
		reply(w, http.StatusOK, s.feed(r))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

type txBody struct {
	Expect []row `json:"expect"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
}

// refusal returns why the store can't take a transaction: its status, 0 if it can.
func (s *store) refusal(tx *txBody, bytes int64) (status int, why string) {
	all := slices.Concat(tx.Expect, tx.Writes, tx.Remove)
	if len(all) == 0 || len(all) > maxTxEntries || bytes > maxTxBytes {
		return http.StatusRequestEntityTooLarge, "transaction too large"
	}
	for _, r := range all {
		if r.Part != all[0].Part {
			return http.StatusBadRequest, "more than one part"
		}
	}
	for _, r := range slices.Concat(tx.Writes, tx.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, "table of the platform"
		}
		if len(r.Value) > rowBytes {
			return http.StatusRequestEntityTooLarge, "row " + r.Table + " " + r.Key + " of " + strconv.Itoa(len(r.Value)) + " bytes"
		}
	}
	return 0, ""
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx txBody
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status, why := s.refusal(&tx, r.ContentLength); status != 0 {
		s.mu.Lock()
		s.tooLarge++
		n := s.tooLarge
		s.mu.Unlock()
		if n <= 20 || n%100 == 0 {
			s.record.line("store refuses write %d with %d: %s", n, status, why)
		}
		w.WriteHeader(status)
		return
	}
	part := slices.Concat(tx.Expect, tx.Writes, tx.Remove)[0].Part
	s.mu.Lock()
	turn := s.parts[part]
	if turn == nil {
		turn = new(sync.Mutex)
		s.parts[part] = turn
	}
	s.mu.Unlock()
	turn.Lock()
	time.Sleep(txTime)
	status, answer := s.apply(&tx)
	turn.Unlock()
	reply(w, status, answer)
}

func (s *store) apply(tx *txBody) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	conflict := false
	for _, want := range tx.Expect {
		r, ok := s.rows[want.name()]
		if ok {
			current = append(current, r)
		}
		conflict = conflict || r.Ver != want.Ver
	}
	if conflict {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.ver++
	for _, r := range tx.Writes {
		s.write(r)
	}
	for _, r := range tx.Remove {
		r.Removed, r.Value = true, nil
		s.write(r)
	}
	return http.StatusOK, s.answer([]row{})
}

// answer returns an answer with the newest version. The caller holds mu.
func (s *store) answer(rows []row) rowsAnswer {
	return rowsAnswer{Rows: rows, Ver: s.ver, NowMS: float64(time.Since(s.started).Milliseconds())}
}

func (s *store) get(r *http.Request) rowsAnswer {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	answer := s.answer(rows)
	bytes := 0
	for i, r := range rows {
		bytes += len(r.Value)*4/3 + len(r.Key) + 100
		if i == limit || (i > 0 && bytes > maxPageBytes) {
			answer.Rows, answer.HasMore = rows[:i], true
			break
		}
	}
	return answer
}

func (s *store) listParts(r *http.Request) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for _, stored := range s.rows {
		if stored.Table == r.URL.Query().Get("table") && stored.Part > r.URL.Query().Get("after") && !slices.Contains(parts, stored.Part) {
			parts = append(parts, stored.Part)
		}
	}
	slices.Sort(parts)
	return parts
}

func (s *store) feed(r *http.Request) rowsAnswer {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		from, _ := slices.BinarySearchFunc(s.changes, after+1, func(r row, ver uint64) int { return int(r.Ver) - int(ver) })
		for _, changed := range s.changes[from:] {
			if changed.Table == q.Get("table") {
				rows = append(rows, changed)
			}
		}
		answer, changed := s.answer(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}
