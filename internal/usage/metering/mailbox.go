package metering

import (
	"sync"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
)

// maxQueuedMessages bounds the messages of a mailbox. Those that find no room are sent again.
const maxQueuedMessages = 1024

// mailbox passes messages, names of own statements and the newest table to a goroutine. Any goroutine
// may put into it.
type mailbox struct {
	ready chan struct{} // has one value while there is something to take

	mu       sync.Mutex
	messages []usagereplica.Message
	exported []string // own statements that were exported since the last take
	view     clusterView
}

// clusterView is a table of the cluster, and the incarnation in which this runner is in it.
type clusterView struct {
	table       *placement.Table // nil: none is known yet
	incarnation uint64
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// notify wakes the goroutine that takes.
func (b *mailbox) notify() {
	select {
	case b.ready <- struct{}{}:
	default: // it has been woken
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

// take returns what has been put since the last take, and the newest view.
func (b *mailbox) take() (messages []usagereplica.Message, exported []string, view clusterView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages, exported = b.messages, b.exported
	b.messages = nil
	b.exported = nil
	return messages, exported, b.view
}
