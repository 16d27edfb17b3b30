// Package peertest provides an in-memory network of peer messengers for tests,
// with delays, network partitions and crashes. It works inside testing/synctest
// bubbles.
package peertest

import (
	"context"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// link is one direction between two nodes.
type link struct{ from, to string }

// Network connects messengers in memory. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[link]bool
	delay time.Duration
	// inFlight tracks the messages that are being delivered.
	inFlight sync.WaitGroup
}

// NewNetwork returns a network that delivers messages between different nodes
// with the given one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{nodes: make(map[string]*Node), cut: make(map[link]bool), delay: delay}
}

// Join adds a node and reports it to the nodes that it is connected to.
func (n *Network) Join(id string) *Node {
	node := &Node{id: id, net: n, handlers: make(map[peerpb.Kind]peer.Handler)}
	n.mu.Lock()
	n.nodes[id] = node
	others := n.othersLocked(id)
	n.mu.Unlock()
	n.emitToAll(id, others, true)
	return node
}

// Leave removes a node, as a crash does, and reports it to the nodes that it was
// connected to.
func (n *Network) Leave(id string) {
	n.mu.Lock()
	others := n.othersLocked(id)
	delete(n.nodes, id)
	n.mu.Unlock()
	n.emitToAll(id, others, false)
}

// Close waits for the messages in flight. Nodes must not send afterwards.
func (n *Network) Close() { n.inFlight.Wait() }

// SetCut cuts or restores the link between a and b in both directions. Both
// nodes receive an event. One-way messages and responses in flight on a cut link
// are lost.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	n.cut[link{a, b}] = cut
	n.cut[link{b, a}] = cut
	nodeA, nodeB := n.nodes[a], n.nodes[b]
	n.mu.Unlock()
	if nodeA != nil {
		nodeA.emit(peer.Event{InstanceID: b, Up: !cut})
	}
	if nodeB != nil {
		nodeB.emit(peer.Event{InstanceID: a, Up: !cut})
	}
}

// othersLocked returns the nodes that id is connected to.
func (n *Network) othersLocked(id string) []*Node {
	var others []*Node
	for other, node := range n.nodes {
		if other != id && !n.cut[link{id, other}] {
			others = append(others, node)
		}
	}
	return others
}

// emitToAll reports to the nodes in others that the session with id opened or
// closed.
func (n *Network) emitToAll(id string, others []*Node, up bool) {
	for _, node := range others {
		node.emit(peer.Event{InstanceID: id, Up: up})
	}
}

// lookup returns the node to if from can reach it.
func (n *Network) lookup(from, to string) (*Node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[from] == nil || n.nodes[to] == nil || n.cut[link{from, to}] {
		return nil, &peer.UnreachableError{InstanceID: to, Reason: "no session"}
	}
	return n.nodes[to], nil
}

// Node is one messenger of the network.
type Node struct {
	id  string
	net *Network

	mu       sync.Mutex
	handlers map[peerpb.Kind]peer.Handler
	events   []chan peer.Event
}

var _ peer.Messenger = (*Node)(nil)

// Self implements [peer.Messenger].
func (n *Node) Self() string { return n.id }

// Handle implements [peer.Messenger].
func (n *Node) Handle(kind peerpb.Kind, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// Subscribe implements [peer.Messenger].
func (n *Node) Subscribe(size int) <-chan peer.Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	events := make(chan peer.Event, size)
	n.events = append(n.events, events)
	return events
}

// emit sends the event to the subscribers whose buffers have space.
func (n *Node) emit(event peer.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, events := range n.events {
		select {
		case events <- event:
		default:
		}
	}
}

// Connected implements [peer.Messenger].
func (n *Node) Connected() []string {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	var ids []string
	for _, node := range n.net.othersLocked(n.id) {
		ids = append(ids, node.id)
	}
	sort.Strings(ids)
	return ids
}

// serve runs the node's handler of a kind and returns the encoded response.
func (n *Node) serve(ctx context.Context, from string, kind peerpb.Kind, payload []byte) ([]byte, error) {
	n.mu.Lock()
	h := n.handlers[kind]
	n.mu.Unlock()
	if h == nil {
		return nil, &peer.RemoteError{InstanceID: n.id, Message: "no handler for " + kind.String()}
	}
	resp, err := h(ctx, from, payload)
	if err != nil {
		return nil, &peer.RemoteError{InstanceID: n.id, Message: err.Error()}
	}
	if resp == nil {
		return nil, nil
	}
	return proto.Marshal(resp)
}

// result is the outcome of a call.
type result struct {
	payload []byte
	err     error
}

// Call implements [peer.Messenger].
func (n *Node) Call(ctx context.Context, to string, kind peerpb.Kind, req, resp proto.Message) error {
	target, err := n.net.lookup(n.id, to)
	if err != nil {
		return err
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	done := make(chan result, 1)
	n.net.inFlight.Go(func() {
		n.waitDelay(to)
		respPayload, err := target.serve(ctx, n.id, kind, payload)
		n.waitDelay(to)
		if _, cut := n.net.lookup(to, n.id); cut != nil {
			err = &peer.LostError{InstanceID: to, Err: cut}
		}
		done <- result{respPayload, err}
	})
	select {
	case r := <-done:
		if r.err != nil {
			return r.err
		}
		return proto.Unmarshal(r.payload, resp)
	case <-ctx.Done():
		return &peer.LostError{InstanceID: to, Err: ctx.Err()}
	}
}

// Send implements [peer.Messenger].
func (n *Node) Send(to string, kind peerpb.Kind, msg proto.Message) error {
	target, err := n.net.lookup(n.id, to)
	if err != nil {
		return err
	}
	payload, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	n.net.inFlight.Go(func() {
		n.waitDelay(to)
		if _, err := n.net.lookup(n.id, to); err == nil {
			_, _ = target.serve(context.Background(), n.id, kind, payload)
		}
	})
	return nil
}

// waitDelay blocks for the network's delay. Messages to the node itself have
// none.
func (n *Node) waitDelay(to string) {
	if n.net.delay > 0 && to != n.id {
		time.Sleep(n.net.delay)
	}
}
