// Package scheduler orders events in virtual time.
package scheduler

import (
	"container/heap"
	"time"
)

// EventQueue is a priority queue of events by time. Events of the same time are
// returned in the order in which they were added. Its zero value is empty.
type EventQueue struct {
	events events
	seq    int
}

// Add schedules the call of do at a time.
func (q *EventQueue) Add(at time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{at, q.seq, do})
}

// Next removes and returns the earliest event. Ok is false if the queue is empty.
func (q *EventQueue) Next() (at time.Duration, do func(), ok bool) {
	if len(q.events) == 0 {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.do, true
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events implements heap.Interface.
type events []event

func (l events) Len() int { return len(l) }

func (l events) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].seq < l[j].seq
}

func (l events) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

func (l *events) Push(x any) { *l = append(*l, x.(event)) }

func (l *events) Pop() any {
	old := *l
	e := old[len(old)-1]
	*l = old[:len(old)-1]
	return e
}
