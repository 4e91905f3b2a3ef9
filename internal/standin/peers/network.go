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
	// Message describes a call; it is passed to the hook.
	Message struct {
		// From is the calling node.
		From id.Instance
		// To is the called node.
		To id.Instance
		// Method is the called method.
		Method string
		// Size is the size of the encoded parameters in bytes.
		Size int
	}

	// Delivery describes how a message is delivered. The zero value delivers the
	// message and its answer without delay.
	Delivery struct {
		// Lost drops the message.
		Lost bool
		// AnswerLost drops the answer.
		AnswerLost bool
		// Delay is the one-way delay, applied to the message and to the answer.
		Delay time.Duration
	}

	// Network connects nodes. The zero Network has no nodes. It is safe for
	// concurrent use.
	Network struct {
		mu    sync.Mutex
		nodes map[id.Instance]*Node
		hook  func(Message) Delivery
		calls int
		bytes int
	}

	// Node is one process on the network. It implements peer.Caller.
	Node struct {
		network  *Network
		self     peer.Sender
		handlers map[string]peer.Handler
		resumed  chan struct{}
	}
)

var _ peer.Caller = (*Node)(nil)

// Node adds a process. It replaces a process of the same instance name, which no
// longer receives messages.
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

// Remove removes the process of the given name.
func (n *Network) Remove(name id.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, name)
}

// SetHook sets the hook that determines the delivery of each message; nil delivers
// all. The hook is called with the network locked and must not use the network.
func (n *Network) SetHook(hook func(Message) Delivery) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hook = hook
}

// Sent returns the number of calls so far and the total size of their parameters
// and answers in bytes.
func (n *Network) Sent() (calls, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.bytes
}

// Register registers the handler of a method.
func (n *Node) Register(method string, handler peer.Handler) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.handlers[method] = handler
}

// Pause blocks messages to and from the node until Resume.
func (n *Node) Pause() {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

// Resume releases the messages that Pause has blocked.
func (n *Node) Resume() {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// Call sends a request to a node and waits for its answer.
func (n *Node) Call(ctx context.Context, to id.Instance, method string, params, result any) error {
	sent, err := json.Marshal(params)
	if err != nil {
		return eris.Wrap(err, "encode parameters")
	}
	delivery, err := n.network.admit(Message{From: n.self.Instance, To: to, Method: method, Size: len(sent)})
	if err != nil {
		return err
	}
	if err := n.transfer(ctx, delivery); err != nil {
		return err
	}
	answer, err := n.network.deliver(ctx, n.self, to, method, sent)
	if err != nil {
		return err
	}
	delivery.Lost = delivery.AnswerLost
	if err := n.transfer(ctx, delivery); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(answer, result), "decode answer")
}

// transfer blocks while the node is paused and for the delay of the message; a lost
// message blocks until ctx ends.
func (n *Node) transfer(ctx context.Context, delivery Delivery) error {
	if err := n.network.wait(ctx, n); err != nil {
		return err
	}
	if delivery.Lost {
		<-ctx.Done()
		return eris.Wrap(ctx.Err(), "message lost")
	}
	if delivery.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(delivery.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit counts a message and asks the hook for its delivery.
func (n *Network) admit(m Message) (Delivery, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.bytes += m.Size
	var delivery Delivery
	if n.hook != nil {
		delivery = n.hook(m)
	}
	if _, ok := n.nodes[m.To]; !ok && !delivery.Lost {
		return delivery, eris.Errorf("node %s does not exist", m.To)
	}
	return delivery, nil
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
		return nil, eris.Errorf("no handler for method %s at node %s", method, to)
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

// wait blocks while the node is paused.
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
