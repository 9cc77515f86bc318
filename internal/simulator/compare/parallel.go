package compare

import (
	"context"
	"sync"
)

// ParallelEach calls do with each index from 0 to n-1, on up to workers goroutines at once. It returns the
// error of the lowest index that has one, or else the context's error. After the end of the context it
// starts no further calls and waits for those in progress.
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
	var ctxErr error
	for i := range n {
		if ctxErr = ctx.Err(); ctxErr != nil {
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
	return ctxErr
}
