package limiter

// Node links a value into a List. Its zero value is unlinked.
type Node[T any] struct {
	// Value is the payload; the list does not access it.
	Value T

	prev, next *Node[T]
	// list is the list that contains the node, or nil.
	list *List[T]
}

// Linked reports whether the node is in a list.
func (n *Node[T]) Linked() bool { return n.list != nil }

// Next returns the node after n, or nil.
func (n *Node[T]) Next() *Node[T] { return n.next }

// List is an intrusive first-in first-out list: the caller allocates the nodes,
// so that adding and removing does not allocate. Its zero value is empty.
type List[T any] struct {
	head, tail *Node[T]
	count      int
}

// Len returns the number of nodes in the list.
func (l *List[T]) Len() int { return l.count }

// Front returns the oldest node, or nil.
func (l *List[T]) Front() *Node[T] { return l.head }

// Push appends n. It panics if n is already in a list.
func (l *List[T]) Push(n *Node[T]) {
	if n.list != nil {
		panic("limiter: node is in a list")
	}
	n.list = l
	n.prev = l.tail
	if l.tail == nil {
		l.head = n
	} else {
		l.tail.next = n
	}
	l.tail = n
	l.count++
}

// Remove removes n and reports whether it was in the list.
func (l *List[T]) Remove(n *Node[T]) bool {
	if n.list != l {
		return false
	}
	if n.prev == nil {
		l.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		l.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next, n.list = nil, nil, nil
	l.count--
	return true
}
