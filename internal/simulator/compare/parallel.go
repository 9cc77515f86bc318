package compare

import (
	"context"
	"sync"
)

// ParallelEach calls do with 0 to n-1 on so many workers. It returns the error of the lowest index, or
// that of the context. Calls that have begun when the context ends are finished.
func ParallelEach(ctx context.Context, workers, n int, do func(i int) error) error {
	errs := make([]error, n)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(workers, n) {
		wg.Go(func() {
			for i := range next {
				errs[i] = do(i)
			}
		})
	}
	var ended error
	for i := range n {
		if ended = ctx.Err(); ended != nil {
			break
		}
		next <- i
	}
	close(next)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ended
}
