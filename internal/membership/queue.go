package membership

import "container/heap"

// queue holds the updates that are still to be piggybacked. The update that has
// been sent least often comes first and, among equals, the newest, because some
// hosts already have the older ones, so a newer change matters more to traffic.
type queue struct {
	items []*queued
	byID  map[string]*queued
	order uint64
}

type queued struct {
	id    string
	sent  int    // number of transmissions
	order uint64 // position in the order of additions
	index int    // in queue.items
}

func (q *queue) Len() int { return len(q.items) }

func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if a.sent != b.sent {
		return a.sent < b.sent
	}
	return a.order > b.order
}

func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index = i
	q.items[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	it := x.(*queued)
	it.index = len(q.items)
	q.items = append(q.items, it)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.items) - 1
	it := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	return it
}

// add queues an update about a host, replacing an earlier entry for it.
func (q *queue) add(id string) {
	q.remove(id)
	q.order++
	it := &queued{id: id, order: q.order}
	q.byID[id] = it
	heap.Push(q, it)
}

func (q *queue) remove(id string) {
	if it, ok := q.byID[id]; ok {
		heap.Remove(q, it.index)
		delete(q.byID, id)
	}
}

// take returns up to n ids other than skip and counts a transmission for each.
// Ids that have been sent limit times are removed from the queue.
func (q *queue) take(n, limit int, skip string) []string {
	var ids []string
	var requeue []*queued
	for len(ids) < n && len(q.items) > 0 {
		it := heap.Pop(q).(*queued)
		if it.id == skip {
			requeue = append(requeue, it)
			continue
		}
		ids = append(ids, it.id)
		it.sent++
		if it.sent < limit {
			requeue = append(requeue, it)
		} else {
			delete(q.byID, it.id)
		}
	}
	for _, it := range requeue {
		heap.Push(q, it)
	}
	return ids
}
