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
	QueueSize     int           // requests in memory that are not written yet
	BlockSize     int           // requests in a block; 0: 512
	FlushInterval time.Duration // after which a block is written that is not full; 0: 1 s
}

const (
	defaultBlockSize     = 512
	defaultFlushInterval = time.Second
	// trailerRoom is the bytes that are kept free in a file for its trailer.
	trailerRoom = 256
)

// Recorder writes requests to a file, on a goroutine of its own: a slow or full disk costs records,
// which are counted, and delays no request.
type Recorder struct {
	opt    Options
	file   File
	queue  chan Request
	done   chan struct{} // closed at the end of the goroutine
	closed sync.Once

	size       int64 // of what is complete in the file
	written    int64 // requests in the file
	full       bool  // the file has reached its bound
	incomplete bool  // a failed write left a part of a block after size

	lostQueue, lostBytes, lostErrors atomic.Int64
}

// Create begins a file. It does not overwrite one that is there: the error is then os.ErrExist.
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

// NewRecorder begins to write to a file, which it closes in the end. The error is that of the file, or
// of a bound that leaves no room for requests.
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

// Lost returns what was lost so far.
func (r *Recorder) Lost() Lost {
	return Lost{Queue: r.lostQueue.Load(), Bytes: r.lostBytes.Load(), Errors: r.lostErrors.Load()}
}

// Close writes what is queued and the trailer. After the timeout it returns an error, and the disk that
// hangs does not hold up the end of the program; Close may then be called again.
func (r *Recorder) Close(timeout time.Duration) error {
	r.closed.Do(func() { close(r.queue) })
	select {
	case <-r.done:
		return nil
	case <-time.After(timeout):
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

// writeBlock writes a block, or counts its requests as lost. Once a block found no room in the file,
// smaller ones that would still fit are lost too, so that the file has no gaps.
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

// write adds a frame. It first removes what an earlier write that failed has left.
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

// finish writes the trailer and closes the file. Without the trailer a reader reports that the file is
// not complete, as is the case.
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
