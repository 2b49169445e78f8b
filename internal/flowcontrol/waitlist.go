package flowcontrol

import (
	"cmp"
	"slices"
)

// waitList holds waiting calls by class, each class in the order in which they came.
type waitList [classes][]*Call

// add adds a call. One that was in a list before gets its place among those of its class back.
func (l *waitList) add(c *Call) {
	i, _ := l.find(c)
	l[c.class] = slices.Insert(l[c.class], i, c)
}

// first returns the class of the call that is next; -1 if none waits.
func (l *waitList) first() Class {
	for class := range classes {
		if len(l[class]) > 0 {
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
	c := l[class][0]
	l[class] = l[class][1:]
	return c
}

// remove removes a call and reports whether it was there.
func (l *waitList) remove(c *Call) bool {
	i, found := l.find(c)
	if found {
		l[c.class] = slices.Delete(l[c.class], i, i+1)
	}
	return found
}

func (l *waitList) count() int {
	n := 0
	for _, calls := range l {
		n += len(calls)
	}
	return n
}

func (l *waitList) find(c *Call) (int, bool) {
	return slices.BinarySearchFunc(l[c.class], c, func(a, b *Call) int { return cmp.Compare(a.sequence, b.sequence) })
}
