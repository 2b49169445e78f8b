package access

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

func mustAdd(t *testing.T, keys *Keys, organisation, key string) {
	t.Helper()
	if err := keys.Add(organisation, NewKey(key)); err != nil {
		t.Fatal(err)
	}
}

func TestDecide(t *testing.T) {
	keys := &Keys{}
	mustAdd(t, keys, "sparks", "k1")
	mustAdd(t, keys, "sparks", "k2")
	mustAdd(t, keys, "costumes", "k3")
	bounded := Rules{RequireKeys: true, MaxKeyUse: 5 * time.Second, MaxConfigAge: 2900 * time.Millisecond}
	unbounded := Rules{RequireKeys: true, MaxConfigAge: 2900 * time.Millisecond}
	const fresh, outdated, lastGranted, firstRefused = 300 * time.Millisecond, 4 * time.Second, 4499 * time.Millisecond, 4500 * time.Millisecond
	granted := func(organisation string) Decision { return Decision{Result: Granted, Organisation: organisation} }
	grantedFor := func(organisation string, left time.Duration) Decision { return Decision{Granted, organisation, left} }
	unknown, undecided := Decision{Result: UnknownKey}, Decision{Result: Undecided}
	for _, c := range []struct {
		// guards names the failure that the case guards against.
		name, guards string
		rules        Rules
		call         Call
		want         Decision
	}{
		{"fresh, known key", "a valid key is refused", bounded, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: fresh}, grantedFor("sparks", 5*time.Second-fresh)},
		{"fresh, second key", "only an organisation's first key is accepted", bounded, Call{Key: NewKey("k2"), Keys: keys, ConfigAge: fresh}, grantedFor("sparks", 5*time.Second-fresh)},
		{"fresh, other organisation", "a job is counted for the wrong organisation", bounded, Call{Key: NewKey("k3"), Keys: keys, ConfigAge: fresh}, grantedFor("costumes", 5*time.Second-fresh)},
		{"fresh, unknown key", "a stranger is served", bounded, Call{Key: NewKey("x"), Keys: keys, ConfigAge: fresh}, unknown},
		{"fresh, no key", "a call without a key is served", bounded, Call{Keys: keys, ConfigAge: fresh}, unknown},
		{"fresh, configuration without keys", "a configuration without organisations opens the cell", bounded, Call{Key: NewKey("k1"), Keys: &Keys{}, ConfigAge: fresh}, unknown},
		{"outdated within the bound, known key", "a slow store makes daemons refuse valid keys", bounded, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: outdated}, grantedFor("sparks", 5*time.Second-outdated)},
		{"outdated within the bound, unknown key", "a new key is called unknown by a daemon that has not read it", bounded, Call{Key: NewKey("x"), Keys: keys, ConfigAge: outdated}, undecided},
		{"last moment of the bound", "keys are refused sooner than needed", bounded, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: lastGranted}, grantedFor("sparks", 5*time.Second-lastGranted)},
		{"end of the bound", "a removed key is accepted after the bound", bounded, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: firstRefused}, undecided},
		{"cut off, known key", "a daemon cut off from the store accepts a removed key forever", bounded, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: 20 * time.Second}, undecided},
		{"cut off, unknown key", "a daemon cut off from the store calls a new key unknown", bounded, Call{Key: NewKey("x"), Keys: keys, ConfigAge: 20 * time.Second}, undecided},
		{"cut off, no key", "a call without a key is let through while nothing can be checked", bounded, Call{Keys: keys, ConfigAge: 20 * time.Second}, undecided},
		{"woken after a freeze", "a daemon frozen for a minute serves what waited in its sockets", bounded, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: time.Minute}, undecided},
		{"started without a configuration", "a restarted daemon calls every key unknown", bounded, Call{Key: NewKey("k1"), ConfigAge: time.Hour}, undecided},
		{"started without a configuration, no key", "a restarted daemon serves before it knows the routes", bounded, Call{ConfigAge: time.Hour}, undecided},
		{"public, no key", "a public route requires a key", bounded, Call{Public: true, Keys: keys, ConfigAge: fresh}, granted("")},
		{"public, unknown key", "a public route refuses a stranger", bounded, Call{Key: NewKey("x"), Public: true, Keys: keys, ConfigAge: fresh}, granted("")},
		{"public, known key", "an organisation's jobs on a public route escape its limit", bounded, Call{Key: NewKey("k1"), Public: true, Keys: keys, ConfigAge: fresh}, granted("sparks")},
		{"public, cut off", "a public route is refused for the sake of keys, or a removed key still counts", bounded, Call{Key: NewKey("k1"), Public: true, Keys: keys, ConfigAge: time.Minute}, granted("")},
		{"public, without a configuration", "a route is taken for public before it is known", bounded, Call{Public: true}, undecided},
		{"keys not required, no key", "a cell without keys refuses a call", Rules{}, Call{Keys: keys, ConfigAge: fresh}, granted("")},
		{"keys not required, known key", "a cell without keys counts jobs by organisation", Rules{}, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: fresh}, granted("")},
		{"keys not required, nothing known", "a cell without keys is refused for its configuration's age", Rules{MaxKeyUse: 5 * time.Second}, Call{ConfigAge: time.Hour}, granted("")},
		{"bound 0, cut off, known key", "a cell without the bound refuses keys in an outage", unbounded, Call{Key: NewKey("k1"), Keys: keys, ConfigAge: time.Hour}, granted("sparks")},
		{"bound 0, cut off, unknown key", "a new key is called unknown by a daemon that has not read it", unbounded, Call{Key: NewKey("x"), Keys: keys, ConfigAge: time.Hour}, undecided},
		{"bound 0, fresh, unknown key", "a stranger is served", unbounded, Call{Key: NewKey("x"), Keys: keys, ConfigAge: fresh}, unknown},
	} {
		if got := c.rules.Decide(c.call); got != c.want {
			t.Errorf("%s: %+v, want %+v; otherwise %s", c.name, got, c.want, c.guards)
		}
	}
}

// A key that two organisations list, and empty names and keys: the failure is a key that changes hands or an empty one that
// lets every call through.
func TestAddKeepsTheFirstHolder(t *testing.T) {
	keys := &Keys{}
	mustAdd(t, keys, "sparks", "k1")
	mustAdd(t, keys, "sparks", "k1")
	for _, c := range []struct {
		organisation, key string
		want              error
	}{{"costumes", "k1", ErrKeyTaken}, {"costumes", "", ErrNoKey}, {"", "k2", ErrNoOrganisation}} {
		if err := keys.Add(c.organisation, NewKey(c.key)); !errors.Is(err, c.want) {
			t.Errorf("key %q of organisation %q: error %v, want %v", c.key, c.organisation, err, c.want)
		}
	}
	rules := Rules{RequireKeys: true, MaxConfigAge: time.Second}
	for key, want := range map[string]Decision{"k1": {Result: Granted, Organisation: "sparks"}, "k2": {Result: UnknownKey}, "": {Result: UnknownKey}} {
		if got := rules.Decide(Call{Key: NewKey(key), Keys: keys}); got != want {
			t.Errorf("key %q: %+v, want %+v", key, got, want)
		}
	}
}

// A key that is formatted by mistake, alone or within a call: the failure is a key or its digest in a log line.
func TestKeyIsNotPrinted(t *testing.T) {
	key := NewKey("k1")
	digest := fmt.Sprintf("%x", key.digest[:4])
	for _, format := range []string{"%v", "%+v", "%s"} {
		for _, value := range []any{key, Call{Key: key}, &Call{Key: key}} {
			if text := fmt.Sprintf(format, value); strings.Contains(text, "k1") || strings.Contains(text, digest) || strings.Contains(text, fmt.Sprint(key.digest[0], key.digest[1])) {
				t.Errorf("%s of %T prints the key: %s", format, value, text)
			}
		}
	}
}
