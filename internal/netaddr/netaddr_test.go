package netaddr

import "testing"

// Guards against workers that can't be called and hold up those that can: ports out of range and missing hosts.
func TestCheck(t *testing.T) {
	for addr, valid := range map[string]bool{
		"10.0.0.1:1": true, "10.0.0.1:65535": true, "worker:80": true, "[::1]:80": true,
		"": false, "10.0.0.1": false, ":80": false, "10.0.0.1:": false, "10.0.0.1:0": false, "10.0.0.1:-1": false, "10.0.0.1:+80": false,
		"10.0.0.1:65536": false, "10.0.0.1:99999": false, "10.0.0.1:abc": false, "10.0.0.1:99999999999999999999": false, "::1:80": false,
	} {
		if err := Check(addr); (err == nil) != valid {
			t.Errorf("%q: %v, want valid %v", addr, err, valid)
		}
	}
}
