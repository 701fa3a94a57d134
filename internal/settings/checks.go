package settings

import (
	"net"
	"strconv"

	"godwitward.example/godwitward/internal/finding"
)

// CheckIPAddr adds a finding unless addr is an IP address with a port.
// Processes connect to each other by IP address, never by host name.
func CheckIPAddr(l *finding.List, field, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		l.Addf(field, "%q is not an IP address with a port, for example 10.0.0.4:7000", addr)
		return
	}
	if net.ParseIP(host) == nil {
		l.Addf(field, "%q is not an IP address", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		l.Addf(field, "port %q is not a number from 0 to 65535", port)
	}
}

// CheckPeerAddr checks an address that is advertised to other processes, which
// dial it. It must not be a wildcard address such as 0.0.0.0.
func CheckPeerAddr(l *finding.List, field, addr string) {
	CheckIPAddr(l, field, addr)
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err == nil && ip != nil && ip.IsUnspecified() {
		l.Addf(field, "%q stands for all interfaces, but others are told to dial this address; give the VM's own", addr)
	}
}

// CheckDebugAddr checks the listen address for health and metrics, which may be
// empty. The listener has no TLS, so it must be on loopback unless allowPlainText
// is set.
func CheckDebugAddr(l *finding.List, addr string, allowPlainText bool) {
	if addr == "" {
		return
	}
	CheckIPAddr(l, "--debug", addr)
	if !allowPlainText && !IsLoopback(addr) {
		l.Addf("--debug", "%s is not a loopback address and the listener has no TLS; --allow-plain-text turns this check off", addr)
	}
}

// CheckIPAddrs checks each address of a list that must not be empty.
func CheckIPAddrs(l *finding.List, field string, addrs []string) {
	if len(addrs) == 0 {
		l.Addf(field, "at least one address is needed")
	}
	for i, a := range addrs {
		CheckIPAddr(l, field+"["+strconv.Itoa(i)+"]", a)
	}
}

// CheckName adds a finding unless name has 1 to 63 lower-case letters, digits
// and hyphens.
func CheckName(l *finding.List, field, name string) {
	if name == "" || len(name) > 63 {
		l.Addf(field, "%q must have 1 to 63 characters", name)
		return
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			l.Addf(field, "%q may hold only lower-case letters, digits and hyphens", name)
			return
		}
	}
}

// IsLoopback reports whether addr ("IP:port") has a loopback address. It returns
// false for host names, including localhost.
func IsLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
