package settings

import (
	"fmt"
	"net/netip"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/result"
)

const (
	// leasesUntilDead is the least number of serving leases after which a silent
	// member may be called dead: by then it has stopped serving by itself.
	leasesUntilDead = 3
	// fetchesInLease is how many held fetches a serving lease must outlast, so
	// that a quiet mesh keeps its leases.
	fetchesInLease = 2
)

// checkTogether lists mistakes that take more than one field to see.
func checkTogether(settings Settings, locator locator) []*result.Error {
	var mistakes []*result.Error
	mistakes = append(mistakes, checkDistinctAddresses(settings, locator)...)
	mistakes = append(mistakes, checkClearListeners(settings, locator)...)
	mistakes = append(mistakes, checkTokens(settings, locator)...)
	mistakes = append(mistakes, checkTiming(settings.Timing.Effective(), locator)...)
	mistakes = append(mistakes, checkAdvertised(settings, locator)...)
	if len(settings.Mesh.Services) > 0 && len(settings.Mesh.Partners) == 0 {
		mistakes = append(mistakes, locator.mistake("mesh.partners",
			"services are given without the partners whose callers use them", "add mesh.partners"))
	}
	return mistakes
}

// checkTiming holds the periods, defaults included, against each other.
func checkTiming(timing node.Timing, locator locator) []*result.Error {
	var mistakes []*result.Error
	if timing.DeadAfter < leasesUntilDead*timing.ServingLease {
		mistakes = append(mistakes, locator.mistake("timing.dead_after",
			fmt.Sprintf("%s is shorter than %d serving leases of %s", timing.DeadAfter, leasesUntilDead, timing.ServingLease),
			"raise it, or shorten timing.serving_lease"))
	}
	if timing.ServingLease < fetchesInLease*timing.FetchWait {
		mistakes = append(mistakes, locator.mistake("timing.serving_lease",
			fmt.Sprintf("%s is shorter than %d fetch waits of %s", timing.ServingLease, fetchesInLease, timing.FetchWait),
			"raise it, or shorten timing.fetch_wait"))
	}
	return mistakes
}

// checkAdvertised refuses addresses that other daemons can't call, since a
// daemon tells them where it listens.
func checkAdvertised(settings Settings, locator locator) []*result.Error {
	advertised := map[string]string{
		"listen.gate":    settings.Listen.Gate,
		"listen.control": settings.Listen.Control,
	}
	var mistakes []*result.Error
	for field, text := range advertised {
		address, err := netip.ParseAddrPort(text)
		if err == nil && address.Addr().IsUnspecified() {
			mistakes = append(mistakes, locator.mistake(field,
				"other daemons are told this address, and cannot call it", "give the machine's own IP number"))
		}
	}
	return mistakes
}

// Listener is one listening address of the settings.
type Listener struct {
	// Field is where it is set.
	Field   string
	Address string
	// Encrypted is set when TLS guards it.
	Encrypted bool
}

// Listeners returns the listening addresses. Control and operators' ports use
// TLS as soon as certificates are given.
func (s Settings) Listeners() []Listener {
	return []Listener{
		{Field: "listen.callers", Address: s.Listen.Callers},
		{Field: "listen.gate", Address: s.Listen.Gate, Encrypted: s.TLS.Enabled()},
		{Field: "listen.control", Address: s.Listen.Control, Encrypted: s.TLS.Enabled()},
		{Field: "listen.operators", Address: s.Listen.Operators, Encrypted: s.TLS.Enabled()},
		{Field: "listen.admin", Address: s.Listen.Admin},
	}
}

// checkClearListeners refuses to listen beyond loopback in the clear unless
// the settings allow it outright.
func checkClearListeners(settings Settings, locator locator) []*result.Error {
	if settings.TLS.AllowInsecure {
		return nil
	}
	var mistakes []*result.Error
	for _, listener := range settings.Listeners() {
		address, err := netip.ParseAddrPort(listener.Address)
		if err != nil || listener.Encrypted || address.Addr().Unmap().IsLoopback() {
			continue
		}
		mistake := locator.mistake(listener.Field, "this address would listen beyond loopback in the clear",
			"listen on 127.0.0.1, give tls.certificate where the port takes TLS, or set tls.allow_insecure")
		mistake.Code = result.InsecureListen
		mistakes = append(mistakes, mistake)
	}
	return mistakes
}

// checkDistinctAddresses refuses one address for two ports.
func checkDistinctAddresses(settings Settings, locator locator) []*result.Error {
	var mistakes []*result.Error
	users := map[netip.AddrPort]string{}
	for _, listener := range settings.Listeners() {
		mistakes = append(mistakes, checkDistinct(users, listener, locator)...)
	}
	return mistakes
}

// checkDistinct notes the address of a listener, or refuses one in use.
func checkDistinct(users map[netip.AddrPort]string, listener Listener, locator locator) []*result.Error {
	address, err := netip.ParseAddrPort(listener.Address)
	if err != nil || address.Port() == 0 {
		return nil
	}
	if other, taken := users[address]; taken {
		return []*result.Error{locator.mistake(listener.Field, "the address is also that of "+other, "give each its own port")}
	}
	users[address] = listener.Field
	return nil
}

// checkTokens refuses a token that stands for two partners.
func checkTokens(settings Settings, locator locator) []*result.Error {
	var mistakes []*result.Error
	owners := map[string]string{}
	for i, token := range settings.Operators.Tokens {
		owner, known := owners[token.SHA256]
		if known && owner != token.Partner {
			field := fmt.Sprintf("operators.tokens[%d].sha256", i)
			mistakes = append(mistakes, locator.mistake(field, "the token also stands for "+owner, "give each partner its own tokens"))
		}
		owners[token.SHA256] = token.Partner
	}
	return mistakes
}
