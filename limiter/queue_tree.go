package limiter

import "time"

// The trees that an item is in: that of its flow and that of its class.
const (
	flowTree = iota
	classTree
	trees
)

// treeNode links an item into a queueTree.
type treeNode[T comparable] struct {
	left, right *queueItem[T]
	// weight is random. That of a parent is at least that of its children, which keeps the tree
	// balanced.
	weight uint32
	// size is the number of items in the subtree.
	size int32
}

// before reports whether x precedes y by due time, and by arrival if they are equal.
func (x *queueItem[T]) before(y *queueItem[T]) bool {
	return x.due < y.due || x.due == y.due && x.sequence < y.sequence
}

// queueTree is a treap of items by due time, which finds the first item and counts those before a
// due time in logarithmic time. Adding and removing does not allocate.
type queueTree[T comparable] struct {
	root *queueItem[T]
	// tree is the index of the nodes.
	tree int
}

func (t *queueTree[T]) len() int { return t.size(t.root) }

func (t *queueTree[T]) size(x *queueItem[T]) int {
	if x == nil {
		return 0
	}
	return int(x.nodes[t.tree].size)
}

func (t *queueTree[T]) setSize(x *queueItem[T]) {
	n := &x.nodes[t.tree]
	n.size = int32(1 + t.size(n.left) + t.size(n.right))
}

func (t *queueTree[T]) insert(x *queueItem[T]) {
	n := &x.nodes[t.tree]
	at := &t.root
	for *at != nil && (*at).nodes[t.tree].weight >= n.weight {
		parent := &(*at).nodes[t.tree]
		parent.size++
		if x.before(*at) {
			at = &parent.left
		} else {
			at = &parent.right
		}
	}
	n.left, n.right = t.split(*at, x)
	t.setSize(x)
	*at = x
}

// split divides a subtree into the items before x and those after it.
func (t *queueTree[T]) split(root, x *queueItem[T]) (left, right *queueItem[T]) {
	if root == nil {
		return nil, nil
	}
	n := &root.nodes[t.tree]
	if x.before(root) {
		left, n.left = t.split(n.left, x)
		right = root
	} else {
		n.right, right = t.split(n.right, x)
		left = root
	}
	t.setSize(root)
	return left, right
}

// remove removes an item, which must be in the tree.
func (t *queueTree[T]) remove(x *queueItem[T]) {
	at := &t.root
	for *at != x {
		parent := &(*at).nodes[t.tree]
		parent.size--
		if x.before(*at) {
			at = &parent.left
		} else {
			at = &parent.right
		}
	}
	n := &x.nodes[t.tree]
	*at = t.merge(n.left, n.right)
	n.left, n.right, n.size = nil, nil, 0
}

// merge joins two subtrees, of which all items of a precede those of b.
func (t *queueTree[T]) merge(a, b *queueItem[T]) *queueItem[T] {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	root := a
	if a.nodes[t.tree].weight >= b.nodes[t.tree].weight {
		a.nodes[t.tree].right = t.merge(a.nodes[t.tree].right, b)
	} else {
		root = b
		b.nodes[t.tree].left = t.merge(a, b.nodes[t.tree].left)
	}
	t.setSize(root)
	return root
}

// first returns the first item, or nil.
func (t *queueTree[T]) first() *queueItem[T] {
	x := t.root
	for x != nil && x.nodes[t.tree].left != nil {
		x = x.nodes[t.tree].left
	}
	return x
}

// countBefore returns the number of items with an earlier due time.
func (t *queueTree[T]) countBefore(due time.Duration) int {
	n := 0
	for x := t.root; x != nil; {
		node := &x.nodes[t.tree]
		if x.due < due {
			n += 1 + t.size(node.left)
			x = node.right
		} else {
			x = node.left
		}
	}
	return n
}
