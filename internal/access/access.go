// Package access decides whether a caller's key lets a call through, and for which organisation. It does no I/O and has no
// clock: the configuration and its age are passed in.
package access

import (
	"crypto/sha256"
	"errors"
	"time"
)

// Key is what a caller presents, reduced to a digest, so that the key itself can reach no log line, metric or error. The
// zero value stands for no key.
type Key struct {
	digest  [sha256.Size]byte
	present bool
}

// NewKey returns the digest of a key's text; no key if text is empty.
func NewKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return Key{digest: sha256.Sum256([]byte(text)), present: true}
}

// String implements fmt.Stringer. It doesn't reveal the digest either, from which a weak key could be guessed.
func (k Key) String() string {
	if !k.present {
		return "no key"
	}
	return "key"
}

// Errors of Keys.Add. They don't contain the key.
var (
	ErrNoKey          = errors.New("the key is empty")
	ErrNoOrganisation = errors.New("the organisation has no name")
	ErrKeyTaken       = errors.New("the key belongs to another organisation")
)

// Keys are the keys of a configuration with their organisations. The zero value holds none. Keys must not be changed once
// the configuration is in force.
type Keys struct {
	organisations map[Key]string
}

// Add adds an organisation's key. A key that another organisation has keeps its first organisation.
// Errors: ErrNoKey; ErrNoOrganisation; ErrKeyTaken.
func (k *Keys) Add(organisation string, key Key) error {
	if organisation == "" {
		return ErrNoOrganisation
	}
	if !key.present {
		return ErrNoKey
	}
	if holder, taken := k.organisations[key]; taken && holder != organisation {
		return ErrKeyTaken
	}
	if k.organisations == nil {
		k.organisations = make(map[Key]string)
	}
	k.organisations[key] = organisation
	return nil
}

// organisation returns the organisation to which the key belongs.
func (k *Keys) organisation(key Key) (name string, known bool) {
	name, known = k.organisations[key]
	return name, known
}

// keyUseMargin is how long before MaxKeyUse a daemon stops to accept keys. It is the least time that a call which was let
// through has until its answer, on VMs that have as little as a seventh of a core.
const keyUseMargin = 500 * time.Millisecond

// Rules are the settings that decisions depend on.
type Rules struct {
	// RequireKeys means that calls need a key, except on public routes. Without it every call is granted.
	RequireKeys bool
	// MaxKeyUse is the time from a key's removal after which it must not be accepted any more; 0 if there is no such bound.
	MaxKeyUse time.Duration
	// MaxConfigAge is the age above which the configuration may lack a key that a newer version has.
	MaxConfigAge time.Duration
}

// RefusesAllKeys reports whether no key is accepted, since the configuration was known to be the newest too long ago.
func (r Rules) RefusesAllKeys(configAge time.Duration) bool {
	return r.RequireKeys && r.MaxKeyUse > 0 && configAge >= r.MaxKeyUse-keyUseMargin
}

// Call is a call to decide upon, with the configuration in force.
type Call struct {
	Key Key
	// Public means that the call's route requires no key.
	Public bool
	// Keys are those of the configuration in force; nil if there is no configuration yet.
	Keys *Keys
	// ConfigAge is the time since the configuration was last known to be the newest.
	ConfigAge time.Duration
}

// Result says what was decided.
type Result int

// The results of a decision.
const (
	// Undecided means that the configuration is missing or may be outdated, so that nothing can be said about the key.
	Undecided Result = iota
	// Granted means that the call may be served.
	Granted
	// UnknownKey means that the call needs a key and has none that an organisation holds.
	UnknownKey
)

// Decision is a result with what is known of a granted call.
type Decision struct {
	Result Result
	// Organisation is the one that the key belongs to; empty if the call is granted without a key.
	Organisation string
	// TimeLeft is the time until MaxKeyUse is over, within which the call must be answered; 0 if there is no such bound.
	TimeLeft time.Duration
}

// Decide decides whether a call may be served.
func (r Rules) Decide(c Call) Decision {
	if !r.RequireKeys {
		return Decision{Result: Granted}
	}
	if c.Keys == nil {
		return Decision{Result: Undecided}
	}
	outdated := r.RefusesAllKeys(c.ConfigAge)
	organisation, known := c.Keys.organisation(c.Key)
	switch {
	case known && !outdated:
		decision := Decision{Result: Granted, Organisation: organisation}
		if r.MaxKeyUse > 0 && !c.Public {
			decision.TimeLeft = r.MaxKeyUse - c.ConfigAge
		}
		return decision
	case c.Public:
		return Decision{Result: Granted}
	case outdated, c.ConfigAge > r.MaxConfigAge:
		return Decision{Result: Undecided}
	}
	return Decision{Result: UnknownKey}
}
