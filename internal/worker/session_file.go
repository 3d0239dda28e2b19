package worker

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// sessionFile is the name of the file, in the directory of the tasks' files.
const sessionFile = "session"

// SessionFile stores the session of a machine's worker. Each process of the worker begins a later
// session than the processes before it, so that commands that were sent to these do not match.
type SessionFile struct {
	path  string
	first uint64 // session that this process begins with
}

// OpenSessionFile begins the next session of the worker whose tasks' files are in dir, which must
// exist. Without a file it is session 1.
func OpenSessionFile(dir string) (*SessionFile, error) {
	f := &SessionFile{path: filepath.Join(dir, sessionFile)}
	last, err := f.read()
	if err != nil {
		return nil, err
	}
	f.first = last + 1
	return f, f.store(f.first)
}

// read returns the stored session, or 0 if there is no file.
func (f *SessionFile) read() (uint64, error) {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("stored session: %w", err)
	}
	session, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("stored session: %s: %w", f.path, err)
	}
	return session, nil
}

// store replaces the stored session. Whatever interrupts it, the file has the old or the new one.
func (f *SessionFile) store(session uint64) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("store session: %w", err)
		}
	}()
	temporary, err := os.CreateTemp(filepath.Dir(f.path), sessionFile+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // fails after the file was renamed
	_, err = fmt.Fprintln(temporary, session)
	if err == nil {
		err = temporary.Sync()
	}
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), f.path)
}
