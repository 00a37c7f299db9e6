package chestnutpond

import (
	"net"
	"strconv"
	"strings"
)

// maxAddressBytes bounds an address. A host name has at most 253 bytes.
const maxAddressBytes = 260

// ValidAddress reports whether the address is host:port with a port from 1 to 65535.
func ValidAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && n > 0 && len(address) <= maxAddressBytes &&
		!strings.ContainsFunc(address, func(c rune) bool { return c <= ' ' || c > '~' })
}
