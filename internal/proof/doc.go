// Package proof runs parts of the scheduler together, under faults, and judges what was recorded. It holds tests only.
package proof
