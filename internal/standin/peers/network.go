package peers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Message describes a call to a hook.
	Message struct {
		// From is the caller.
		From id.Instance
		// To is the called node.
		To id.Instance
		// Method is the called method.
		Method string
		// Size is the number of bytes of the parameters.
		Size int
	}

	// Fate is what becomes of a message. The zero Fate delivers it at once.
	Fate struct {
		// Lost keeps the message from being delivered.
		Lost bool
		// AnswerLost keeps the answer from being delivered.
		AnswerLost bool
		// Delay passes before the message and again before the answer.
		Delay time.Duration
	}

	// Network joins nodes. The zero Network has none; it is safe for
	// concurrent use.
	Network struct {
		mu    sync.Mutex
		nodes map[id.Instance]*Node
		hook  func(Message) Fate
		calls int
		bytes int
	}

	// Node is one process on the network. It is a peer.Caller.
	Node struct {
		network  *Network
		self     peer.Sender
		handlers map[string]peer.Handler
		resumed  chan struct{}
	}
)

var _ peer.Caller = (*Node)(nil)

// Node adds a process. One with the same instance name is replaced: messages
// no longer reach it.
func (n *Network) Node(self peer.Sender) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes == nil {
		n.nodes = map[id.Instance]*Node{}
	}
	node := &Node{network: n, self: self, handlers: map[string]peer.Handler{}}
	n.nodes[self.Instance] = node
	return node
}

// Remove ends the process of the name.
func (n *Network) Remove(name id.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, name)
}

// SetHook lets hook decide on each message; nil delivers all. The hook is
// called with the network locked, so it must not use it.
func (n *Network) SetHook(hook func(Message) Fate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hook = hook
}

// Sent returns the number of calls so far and the bytes of their parameters
// and answers.
func (n *Network) Sent() (calls, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.bytes
}

// Register lets handler answer the method.
func (n *Node) Register(method string, handler peer.Handler) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.handlers[method] = handler
}

// Pause lets messages to and from the node wait until Resume.
func (n *Node) Pause() {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

// Resume lets waiting messages go on.
func (n *Node) Resume() {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// Call sends a request to a node.
func (n *Node) Call(ctx context.Context, to id.Instance, method string, params, result any) error {
	sent, err := json.Marshal(params)
	if err != nil {
		return eris.Wrap(err, "encode parameters")
	}
	fate, err := n.network.send(Message{From: n.self.Instance, To: to, Method: method, Size: len(sent)})
	if err != nil {
		return err
	}
	if err := n.transfer(ctx, fate); err != nil {
		return err
	}
	answer, err := n.network.deliver(ctx, n.self, to, method, sent)
	if err != nil {
		return err
	}
	fate.Lost = fate.AnswerLost
	if err := n.transfer(ctx, fate); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(answer, result), "decode answer")
}

func (n *Node) transfer(ctx context.Context, fate Fate) error {
	if err := n.network.wait(ctx, n); err != nil {
		return err
	}
	if fate.Lost {
		<-ctx.Done()
		return eris.Wrap(ctx.Err(), "message lost")
	}
	if fate.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(fate.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) send(m Message) (Fate, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.bytes += m.Size
	var fate Fate
	if n.hook != nil {
		fate = n.hook(m)
	}
	if _, ok := n.nodes[m.To]; !ok && !fate.Lost {
		return fate, eris.Errorf("no node %s", m.To)
	}
	return fate, nil
}

func (n *Network) deliver(ctx context.Context, from peer.Sender, to id.Instance, method string, params json.RawMessage) (json.RawMessage, error) {
	n.mu.Lock()
	node, ok := n.nodes[to]
	var handler peer.Handler
	if ok {
		handler = node.handlers[method]
	}
	n.mu.Unlock()
	if handler == nil {
		return nil, eris.Errorf("no method %s at %s", method, to)
	}
	if err := n.wait(ctx, node); err != nil {
		return nil, err
	}
	result, err := handler(context.WithoutCancel(ctx), from, params)
	if err != nil {
		return nil, err
	}
	answer, err := json.Marshal(result)
	n.mu.Lock()
	n.bytes += len(answer)
	n.mu.Unlock()
	return answer, eris.Wrap(err, "encode answer")
}

// wait returns when the node isn't paused.
func (n *Network) wait(ctx context.Context, node *Node) error {
	n.mu.Lock()
	resumed := node.resumed
	n.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
