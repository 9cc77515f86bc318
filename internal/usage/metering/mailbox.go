package metering

import (
	"sync"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
)

// maxQueuedMessages bounds the messages of a mailbox. Others are dropped, and the sender repeats them.
const maxQueuedMessages = 1024

// mailbox passes messages, names of this runner's statements and the newest table to a goroutine. Any
// goroutine may put into it.
type mailbox struct {
	ready chan struct{} // has one value while there is something to take

	mu       sync.Mutex
	messages []usagereplica.Message
	exported []string // names of this runner's statements that were exported since the last take
	view     clusterView
}

// clusterView is a table of the cluster, and the incarnation of this runner in it.
type clusterView struct {
	table       *placement.Table // nil: none is known yet
	incarnation uint64
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// notify wakes the goroutine that calls take.
func (b *mailbox) notify() {
	select {
	case b.ready <- struct{}{}:
	default: // it has been woken already
	}
}

func (b *mailbox) putMessage(m usagereplica.Message) {
	b.mu.Lock()
	if len(b.messages) < maxQueuedMessages {
		b.messages = append(b.messages, m)
	}
	b.mu.Unlock()
	b.notify()
}

func (b *mailbox) putExported(name string) {
	b.mu.Lock()
	b.exported = append(b.exported, name)
	b.mu.Unlock()
	b.notify()
}

func (b *mailbox) setView(v clusterView) {
	b.mu.Lock()
	b.view = v
	b.mu.Unlock()
	b.notify()
}

// take returns the messages and names that were put since the last take, and the newest view.
func (b *mailbox) take() (messages []usagereplica.Message, exported []string, view clusterView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages, exported = b.messages, b.exported
	b.messages = nil
	b.exported = nil
	return messages, exported, b.view
}
