package worker

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// taskOutputs are the files that a task's output is written to.
type taskOutputs struct{ files []*boundedFile }

// openOutputs connects a task's standard output and error to its own files in dir and to the
// files that its user named ("" for none). Each file takes at most maxLog bytes. After an error
// no file is open.
func openOutputs(cmd *exec.Cmd, dir string, userFiles [2]string, maxLog int64) (*taskOutputs, error) {
	o := &taskOutputs{}
	if err := o.connect(cmd, dir, userFiles, maxLog); err != nil {
		o.discard()
		return nil, err
	}
	return o, nil
}

func (o *taskOutputs) connect(cmd *exec.Cmd, dir string, userFiles [2]string, maxLog int64) error {
	shared := map[string]*boundedFile{} // the user may name one file for both streams
	for i, stream := range []*io.Writer{&cmd.Stdout, &cmd.Stderr} {
		own, err := o.create(filepath.Join(dir, [...]string{StdoutFile, StderrFile}[i]), maxLog)
		if err != nil {
			return err
		}
		*stream = own
		name := userFiles[i]
		if name == "" {
			continue
		}
		if shared[name] == nil {
			if shared[name], err = o.create(name, maxLog); err != nil {
				return err
			}
		}
		*stream = io.MultiWriter(own, shared[name])
	}
	return nil
}

func (o *taskOutputs) create(name string, maxLog int64) (*boundedFile, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("task's output: %w", err)
	}
	b := &boundedFile{f: f, remaining: maxLog}
	o.files = append(o.files, b)
	return b, nil
}

// close closes the files after the task has exited.
func (o *taskOutputs) close() {
	for _, b := range o.files {
		b.close()
	}
}

// discard closes the files of a task that was not started.
func (o *taskOutputs) discard() {
	for _, b := range o.files {
		_ = b.f.Close() // nothing was written
	}
}

// boundedFile is a file that stores a limited number of bytes and drops the rest.
type boundedFile struct {
	mu        sync.Mutex
	f         *os.File
	remaining int64
	dropped   int64
}

// Write implements io.Writer. It never fails, so that a full disk or an exceeded limit does not
// end the task.
func (b *boundedFile) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(int64(len(data)), b.remaining)
	if n > 0 {
		written, err := b.f.Write(data[:n])
		b.remaining -= int64(written)
		if err != nil {
			b.remaining = 0
		}
		n = int64(written)
	}
	b.dropped += int64(len(data)) - n
	return len(data), nil
}

func (b *boundedFile) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped > 0 {
		_, _ = fmt.Fprintf(b.f, "\n[%d bytes more were dropped]\n", b.dropped) // a full disk does not end the task
	}
	_ = b.f.Close() // a full disk does not end the task
	b.remaining = 0
}
