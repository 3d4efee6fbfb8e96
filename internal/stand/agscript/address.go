package agscript

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anvilglade/anvilglade"
)

// Address returns the address that a name in a script stands for: a letter and a digit, as
// in "a1" for an agent and "b2" for a balancer.
func Address(name string) anvilglade.IPv4 {
	return anvilglade.IPv4{10, 0, 0, name[1] - '0'}
}

// Addresses returns the addresses of names.
func Addresses(names []string) []anvilglade.IPv4 {
	list := make([]anvilglade.IPv4, 0, len(names))
	for _, name := range names {
		list = append(list, Address(name))
	}
	return list
}

// Names returns the sorted names of addresses, which begin with the given letter.
func Names(letter string, addresses []anvilglade.IPv4) string {
	list := make([]string, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, fmt.Sprintf("%s%d", letter, address[3]))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}
