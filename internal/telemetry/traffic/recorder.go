package traffic

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// File is the file that a recorder writes.
type File interface {
	Write(p []byte) (int, error)
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
	Close() error
}

// Options sets the limits of a recorder.
type Options struct {
	MaxBytes      int64         // maximum size of the file
	QueueSize     int           // maximum number of queued requests that are not in a block yet; minimum 1
	BlockSize     int           // requests per block; 0: 512
	FlushInterval time.Duration // interval at which a block is written though it is not full; 0: 1 s
}

const (
	defaultBlockSize     = 512
	defaultFlushInterval = time.Second
	// trailerRoom is the number of bytes that are reserved in a file for its trailer.
	trailerRoom = 256
)

// Recorder writes requests to a file, on a goroutine of its own. If the disk is slow or full, records are
// lost and counted, but no request is delayed.
type Recorder struct {
	opt    Options
	file   File
	queue  chan Request
	done   chan struct{} // closed at the end of the goroutine
	closed sync.Once

	size       int64 // length of the complete frames in the file
	written    int64 // requests in the file
	full       bool  // the file has reached its maximum size
	incomplete bool  // a failed write may have left part of a frame after size

	lostQueue, lostBytes, lostErrors atomic.Int64
}

// Create creates a file and starts a recorder. An existing file is kept: the error is then os.ErrExist.
func Create(path string, h Header, opt Options) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	r, err := NewRecorder(f, h, opt)
	if err != nil {
		return nil, errors.Join(err, f.Close(), os.Remove(path))
	}
	return r, nil
}

// NewRecorder writes the header to a file and starts a recorder, which closes the file at its end. It
// fails if the header cannot be written, or if MaxBytes leaves no room for requests.
func NewRecorder(f File, h Header, opt Options) (*Recorder, error) {
	if opt.BlockSize <= 0 {
		opt.BlockSize = defaultBlockSize
	}
	if opt.FlushInterval <= 0 {
		opt.FlushInterval = defaultFlushInterval
	}
	start, err := appendStart(nil, h)
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	if opt.MaxBytes < int64(len(start)+trailerRoom) {
		return nil, fmt.Errorf("traffic: a file of %d bytes has no room for requests", opt.MaxBytes)
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

// Record records a request, or counts it as lost. It does not wait. It must not be called after Close.
func (r *Recorder) Record(q Request) {
	select {
	case r.queue <- q:
	default:
		r.lostQueue.Add(1)
	}
}

// Lost returns the numbers of requests that were lost so far.
func (r *Recorder) Lost() Lost {
	return Lost{Queue: r.lostQueue.Load(), Bytes: r.lostBytes.Load(), Errors: r.lostErrors.Load()}
}

// Close writes the queued requests and the trailer. It returns an error after the timeout, so that a disk
// that hangs does not delay the end of the program; Close may then be called again.
func (r *Recorder) Close(timeout time.Duration) error {
	r.closed.Do(func() { close(r.queue) })
	select {
	case <-r.done:
		return nil
	case <-time.After(timeout):
		return errors.New("traffic: the disk did not finish the file before the timeout")
	}
}

// run writes a block when it is full, and at each flush interval.
func (r *Recorder) run() {
	defer close(r.done)
	tick := time.NewTicker(r.opt.FlushInterval)
	defer tick.Stop()
	block := make([]Request, 0, r.opt.BlockSize)
	for {
		select {
		case q, more := <-r.queue:
			if !more {
				r.writeBlock(block)
				r.finish()
				return
			}
			block = append(block, q)
			if len(block) == cap(block) {
				r.writeBlock(block)
				block = block[:0]
			}
		case <-tick.C:
			r.writeBlock(block)
			block = block[:0]
		}
	}
}

// writeBlock writes a block, or counts its requests as lost. After the first block that does not fit into
// the file, smaller ones that would fit are lost too, so that the file has no gaps.
func (r *Recorder) writeBlock(block []Request) {
	if len(block) == 0 {
		return
	}
	n := int64(len(block))
	frame, err := appendBlock(nil, block)
	switch {
	case err != nil:
		r.lostErrors.Add(n)
	case r.full || r.size+int64(len(frame))+trailerRoom > r.opt.MaxBytes:
		r.full = true
		r.lostBytes.Add(n)
	case r.write(frame) != nil:
		r.lostErrors.Add(n)
	default:
		r.written += n
	}
}

// write appends a frame. It first removes what an earlier failed write left.
func (r *Recorder) write(frame []byte) error {
	if r.incomplete {
		if err := r.file.Truncate(r.size); err != nil {
			return err
		}
		if _, err := r.file.Seek(r.size, io.SeekStart); err != nil {
			return err
		}
		r.incomplete = false
	}
	if _, err := r.file.Write(frame); err != nil {
		r.incomplete = true
		return err
	}
	r.size += int64(len(frame))
	return nil
}

// finish writes the trailer and closes the file. If the trailer cannot be written, readers rightly report
// that the file is not complete.
func (r *Recorder) finish() {
	frame, err := appendFrame(nil, frameTrailer, Trailer{Requests: r.written, Lost: r.Lost()})
	if err == nil {
		err = r.write(frame)
	}
	if err != nil && r.incomplete {
		_ = r.file.Truncate(r.size)
	}
	_ = r.file.Close() // there is nowhere to report it: the program ends
}
