package dbase

import (
	"sort"
	"time"
)

// read returns a row as the session sees it, with its own uncommitted changes.
func (s *session) read(id string) (string, bool) {
	for at := len(s.changes) - 1; at >= 0; at-- {
		if s.changes[at].id == id {
			return s.changes[at].value, !s.changes[at].delete
		}
	}
	st := s.server.store
	st.mu.Lock()
	defer st.mu.Unlock()
	value, found := st.rows[id]
	return value, found
}

// view returns all rows as the session sees them, with its own uncommitted changes.
func (s *session) view() map[string]string {
	rows := s.server.store.snapshot()
	for _, c := range s.changes {
		if c.delete {
			delete(rows, c.id)
			continue
		}
		rows[c.id] = c.value
	}
	return rows
}

// write buffers a change until the transaction commits; outside a transaction block, until the
// end of the request.
func (s *session) write(c change) error {
	s.changes = append(s.changes, c)
	return nil
}

// commitTx appends the buffered changes to the log, if there are any.
func (s *session) commitTx() error {
	if len(s.changes) == 0 {
		return nil
	}
	if err := s.checkDeferred(); err != nil {
		return err
	}
	if err := s.server.store.commit(s.changes); err != nil {
		return err
	}
	s.committed = true
	return nil
}

// endTx discards the buffered changes and releases the transaction's locks.
func (s *session) endTx() {
	st := s.server.store
	st.mu.Lock()
	for _, id := range s.locked {
		delete(st.locks, id)
	}
	st.mu.Unlock()
	s.inTx, s.failed, s.readOnly = false, false, s.defaultReadOnly
	s.changes, s.locked, s.savepoints = nil, nil, nil
}

// lock locks a row until the end of the transaction; it fails with a deadlock error after lockWait.
func (s *session) lock(id string) error {
	deadline := time.Now().Add(lockWait)
	for {
		locked, err := s.tryLock(id)
		if locked || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return errDeadlock
		}
		time.Sleep(lockPollInterval)
	}
}

func (s *session) tryLock(id string) (bool, error) {
	st := s.server.store
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.writable() || s.readOnly {
		return false, errReadOnly
	}
	switch st.locks[id] {
	case s.id:
		return true, nil
	case 0:
		st.locks[id] = s.id
		s.locked = append(s.locked, id)
		return true, nil
	}
	return false, nil
}

// sortedRows returns the rows as pairs of id and value, ordered by id.
func sortedRows(rows map[string]string) [][2]string {
	sorted := make([][2]string, 0, len(rows))
	for id, value := range rows {
		sorted = append(sorted, [2]string{id, value})
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i][0] < sorted[j][0] })
	return sorted
}
