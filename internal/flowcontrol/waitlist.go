package flowcontrol

import (
	"cmp"
	"slices"
)

// maxUrgentInRow is how many Urgent calls in a row may pass Lasting ones that wait. Without it, Lasting calls would never be sent while
// more Urgent ones come than places become free.
const maxUrgentInRow = 3

// waitList holds waiting calls by class, each class in the order in which they came.
type waitList struct {
	byClass [classes][]*Call
	// urgentInRow counts the Urgent calls that were taken since the last Lasting one while Lasting calls waited.
	urgentInRow int
}

// add adds a call. One that was in a list before gets its place among those of its class back.
func (l *waitList) add(c *Call) {
	i, _ := l.find(c)
	l.byClass[c.class] = slices.Insert(l.byClass[c.class], i, c)
}

// first returns the lowest class of which calls wait; -1 if none does.
func (l *waitList) first() Class {
	for class := range classes {
		if len(l.byClass[class]) > 0 {
			return class
		}
	}
	return -1
}

// takeFirst removes and returns the call that is next; nil if none waits.
func (l *waitList) takeFirst() *Call {
	class := l.first()
	if class < 0 {
		return nil
	}
	lastingWaits := len(l.byClass[Lasting]) > 0
	if class == Urgent && lastingWaits && l.urgentInRow >= maxUrgentInRow {
		class = Lasting
	}
	switch {
	case class == Lasting || !lastingWaits:
		l.urgentInRow = 0
	case class == Urgent:
		l.urgentInRow++
	}
	c := l.byClass[class][0]
	l.byClass[class] = l.byClass[class][1:]
	return c
}

// remove removes a call and reports whether it was there.
func (l *waitList) remove(c *Call) bool {
	i, found := l.find(c)
	if found {
		l.byClass[c.class] = slices.Delete(l.byClass[c.class], i, i+1)
	}
	return found
}

func (l *waitList) count() int {
	n := 0
	for _, calls := range l.byClass {
		n += len(calls)
	}
	return n
}

func (l *waitList) find(c *Call) (int, bool) {
	return slices.BinarySearchFunc(l.byClass[c.class], c, func(a, b *Call) int { return cmp.Compare(a.sequence, b.sequence) })
}
