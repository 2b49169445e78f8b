// Package netaddr checks the addresses that others write.
package netaddr

import (
	"errors"
	"net"
	"strconv"
)

// ErrInvalid means that an address can't be called.
var ErrInvalid = errors.New("address is not a host and a port from 1 to 65535")

// Check returns ErrInvalid unless addr is a host and the number of a port.
func Check(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return ErrInvalid
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return ErrInvalid
	}
	return nil
}
