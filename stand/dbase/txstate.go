package dbase

import "time"

var (
	errNoBlock     = &sqlError{"25P01", "there is no transaction block in progress"}
	errNoSavepoint = &sqlError{"3B001", "savepoint does not exist"}
)

// savepoint is a savepoint with the number of changes that were made before it.
type savepoint struct {
	name    string
	changes int
}

func beginReadOnly(s *session, _ []string) (result, error) {
	s.inTx, s.readOnly = true, true
	return result{tag: "BEGIN"}, nil
}

// setReadOnly makes the transaction refuse writes, also the one that several statements of a simple
// query form; after a single statement outside a block it ends with the request.
func setReadOnly(s *session, _ []string) (result, error) {
	s.readOnly = true
	return result{tag: "SET"}, nil
}

// setDefaultReadOnly makes the session's later transactions refuse writes.
func setDefaultReadOnly(s *session, _ []string) (result, error) {
	s.defaultReadOnly = true
	return result{tag: "SET"}, nil
}

func setSavepoint(s *session, args []string) (result, error) {
	if !s.inTx {
		return result{}, errNoBlock
	}
	s.savepoints = append(s.savepoints, savepoint{args[0], len(s.changes)})
	return result{tag: "SAVEPOINT"}, nil
}

// findSavepoint returns the index of the last savepoint of that name.
func (s *session) findSavepoint(name string) (int, error) {
	if !s.inTx {
		return 0, errNoBlock
	}
	for at := len(s.savepoints) - 1; at >= 0; at-- {
		if s.savepoints[at].name == name {
			return at, nil
		}
	}
	return 0, errNoSavepoint
}

func releaseSavepoint(s *session, args []string) (result, error) {
	at, err := s.findSavepoint(args[0])
	if err != nil {
		return result{}, err
	}
	s.savepoints = s.savepoints[:at]
	return result{tag: "RELEASE"}, nil
}

// rollbackTo discards the changes made since a savepoint, which stays; an aborted transaction goes on.
func rollbackTo(s *session, args []string) (result, error) {
	at, err := s.findSavepoint(args[0])
	if err != nil {
		return result{}, err
	}
	s.changes, s.savepoints = s.changes[:s.savepoints[at].changes], s.savepoints[:at+1]
	s.failed = false
	return result{tag: "ROLLBACK"}, nil
}

func load(*session, []string) (result, error) { return result{tag: "LOAD"}, nil }

// appendValue stands for a function with an effect: it appends to the value of a row, so that the
// row tells how often the function has run.
func appendValue(s *session, args []string) (result, error) {
	if err := s.lock(args[0]); err != nil {
		return result{}, err
	}
	old, _ := s.read(args[0])
	return result{rows: [][]string{{""}}, tag: "SELECT 1"}, s.write(change{id: args[0], value: old + args[1]})
}

// advisoryLock takes a lock that the session holds until it ends; it fails with a deadlock error
// after lockWait.
func advisoryLock(s *session, args []string) (result, error) {
	for deadline := time.Now().Add(lockWait); !s.takeAdvisoryLock(args[0]); time.Sleep(lockPollInterval) {
		if time.Now().After(deadline) {
			return result{}, errDeadlock
		}
	}
	return result{rows: [][]string{{""}}, tag: "SELECT 1"}, nil
}

func tryAdvisoryLock(s *session, args []string) (result, error) {
	return boolResult(s.takeAdvisoryLock(args[0]))
}

func (s *session) takeAdvisoryLock(key string) bool {
	st := s.server.store
	st.mu.Lock()
	defer st.mu.Unlock()
	if holder := st.advisory[key]; holder != 0 && holder != s.id {
		return false
	}
	st.advisory[key] = s.id
	return true
}

// releaseAdvisoryLocks releases the advisory locks that the session holds.
func (s *session) releaseAdvisoryLocks() {
	st := s.server.store
	st.mu.Lock()
	defer st.mu.Unlock()
	for key, holder := range st.advisory {
		if holder == s.id {
			delete(st.advisory, key)
		}
	}
}

// Writes returns how often each row was changed, by ID, in the transactions of the server's log.
func (s *Server) Writes() map[string]int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	counts := map[string]int{}
	for _, e := range s.store.log {
		for _, c := range e.changes {
			counts[c.id]++
		}
	}
	return counts
}
