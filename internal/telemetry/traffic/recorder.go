package traffic

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// File is what a recorder writes to.
type File interface {
	Write(p []byte) (int, error)
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
	Close() error
}

// Options bound a recorder.
type Options struct {
	MaxBytes      int64         // of the file
	QueueSize     int           // requests in memory that are not yet written
	BlockSize     int           // requests in one block; 0: 512
	FlushInterval time.Duration // a block is written after so long at the latest; 0: 1 s
}

// Recorder writes requests to a file beside whoever notes them: a full disk or a slow one costs
// records, which are counted, and never keeps a request waiting.
type Recorder struct {
	opt    Options
	file   File
	queue  chan Request
	done   chan struct{}
	closed sync.Once
	size   int64 // of what is whole in the file
	wrote  int64
	full   bool // the file has reached its bound
	torn   bool // behind what is whole stands a part of a block

	lostQueue, lostBytes, lostErrors atomic.Int64
}

// endRoom is kept free in the file for its last frame.
const endRoom = 256

// Create begins a file. One that is there already is not overwritten.
func Create(path string, h Header, opt Options) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	r, err := NewRecorder(f, h, opt)
	if err != nil {
		f.Close()
		os.Remove(path)
	}
	return r, err
}

// NewRecorder begins to write to a file, which it closes in the end.
func NewRecorder(f File, h Header, opt Options) (*Recorder, error) {
	if opt.BlockSize <= 0 {
		opt.BlockSize = 512
	}
	if opt.FlushInterval <= 0 {
		opt.FlushInterval = time.Second
	}
	start, err := appendStart(nil, h)
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	if opt.MaxBytes < int64(len(start)+endRoom) {
		return nil, fmt.Errorf("traffic: a file of %d bytes holds nothing", opt.MaxBytes)
	}
	if _, err := f.Write(start); err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	r := &Recorder{
		opt:   opt,
		file:  f,
		queue: make(chan Request, max(opt.QueueSize, 1)),
		done:  make(chan struct{}),
		size:  int64(len(start)),
	}
	go r.run()
	return r, nil
}

// Record records a request, or counts it as lost. It does not wait. It is not called after Close.
func (r *Recorder) Record(q Request) {
	select {
	case r.queue <- q:
	default:
		r.lostQueue.Add(1)
	}
}

// Lost is what was lost so far.
func (r *Recorder) Lost() Lost {
	return Lost{Queue: r.lostQueue.Load(), Bytes: r.lostBytes.Load(), Errors: r.lostErrors.Load()}
}

// Close writes what is left and the end, and waits for that, but no longer than it is told: a disk
// that hangs must not hold up the end of the program.
func (r *Recorder) Close(within time.Duration) error {
	r.closed.Do(func() { close(r.queue) })
	select {
	case <-r.done:
		return nil
	case <-time.After(within):
		return errors.New("traffic: the disk takes too long, the file is not finished")
	}
}

// run writes blocks as they fill or their time comes.
func (r *Recorder) run() {
	defer close(r.done)
	tick := time.NewTicker(r.opt.FlushInterval)
	defer tick.Stop()
	block := make([]Request, 0, r.opt.BlockSize)
	for {
		select {
		case q, more := <-r.queue:
			if !more {
				r.block(block)
				r.end()
				return
			}
			if block = append(block, q); len(block) == cap(block) {
				r.block(block)
				block = block[:0]
			}
		case <-tick.C:
			r.block(block)
			block = block[:0]
		}
	}
}

func (r *Recorder) block(block []Request) {
	if len(block) == 0 {
		return
	}
	text, err := appendBlock(nil, block)
	switch {
	case err != nil:
		r.lostErrors.Add(int64(len(block)))
	case r.full || r.size+int64(len(text))+endRoom > r.opt.MaxBytes:
		// smaller blocks that would still fit are not let in: the file would have gaps
		r.full = true
		r.lostBytes.Add(int64(len(block)))
	case r.write(text) != nil:
		r.lostErrors.Add(int64(len(block)))
	default:
		r.wrote += int64(len(block))
	}
}

// write adds a frame. What was written of one that failed is taken off again, before anything else
// is written.
func (r *Recorder) write(text []byte) error {
	if r.torn {
		if err := r.file.Truncate(r.size); err != nil {
			return err
		}
		if _, err := r.file.Seek(r.size, 0); err != nil {
			return err
		}
		r.torn = false
	}
	if _, err := r.file.Write(text); err != nil {
		r.torn = true
		return err
	}
	r.size += int64(len(text))
	return nil
}

func (r *Recorder) end() {
	text, err := appendFrame(nil, frameEnd, Trailer{Requests: r.wrote, Lost: r.Lost()})
	if err == nil {
		err = r.write(text)
	}
	if err != nil && r.torn {
		r.file.Truncate(r.size) // a reader then says that it was not finished, which is so
	}
	r.file.Close()
}
