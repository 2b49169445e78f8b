// Package proof tests parts of the scheduler together under injected faults and checks the recorded history against the
// guarantees. It contains only tests.
package proof
