package questionnaire

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
)

// Ask asks all questions and reads the replies from in, one per line, from a person
// or a file. An empty reply selects the default in brackets. Inconsistent answers
// are returned together with their faults.
func Ask(in io.Reader, out io.Writer) (*Answers, error) {
	p := &prompt{in: bufio.NewScanner(in), out: out, echo: in != io.Reader(os.Stdin)}
	a := New()
	a.askFleet(p)
	a.askFailureDomains(p)
	a.askEndpointKinds(p)
	a.askModels(p)
	a.askServices(p)
	a.askAccounts(p)
	a.askInstances(p)
	if p.err != nil {
		return nil, p.err
	}
	return a, a.Validate()
}

func (a *Answers) askFleet(p *prompt) {
	p.printLine("Finish each reply with Enter. An empty reply selects the default in [brackets].\n")
	a.Name = p.required("What is the fleet called?", "")
	a.Times.Short = p.time("How long may an answer to a prompt up to 32,000 tokens take?", a.Times.Short)
	a.Times.Long = p.time("And to a longer prompt?", a.Times.Long)
	a.Times.Remember = p.time("How long is a call that may run only once remembered?", a.Times.Remember)
	a.Security.Plain = !p.yesNo("Do you have TLS certificates for the instances?", false)
	if !a.Security.Plain {
		a.Security.Certificate = p.required("Path of the certificate on each instance?", "/etc/jacinthplank/instance.crt")
		a.Security.Key = p.required("Path of its key?", "/etc/jacinthplank/instance.key")
		a.Security.Authority = p.required("Path of the authority's certificate?", "/etc/jacinthplank/authority.crt")
	}
}

func (a *Answers) askFailureDomains(p *prompt) {
	p.printLine("\nPlaces that can be lost as a whole are failure domains: a room, a site, a provider's zone.")
	names := p.list("Which failure domains are there? (comma-separated names)", 1)
	region := ""
	for _, name := range names {
		region = p.required(fmt.Sprintf("In which region is %s?", name), region)
		a.FailureDomains = append(a.FailureDomains, FailureDomain{Name: name, Region: region})
	}
	roundTrip := DefaultRoundTrip
	for i, one := range names {
		for _, other := range names[i+1:] {
			roundTrip = p.time(fmt.Sprintf("How long does a message take from %s to %s and back?", one, other), roundTrip)
			a.RoundTrips = append(a.RoundTrips, RoundTrip{Between: []string{one, other}, Time: roundTrip})
		}
	}
}

func (a *Answers) askEndpointKinds(p *prompt) {
	p.printLine("\nEngines and plain services are endpoints. Some refuse an order (load a model, change role) that carries an old fencing number; others ignore the number.")
	for _, name := range p.list("Which kinds of endpoint do you have?", 1) {
		checks := p.yesNo(fmt.Sprintf("Do endpoints of kind %s refuse orders with an old fencing number?", name), false)
		a.EndpointKinds = append(a.EndpointKinds, EndpointKind{Name: name, ChecksOrders: checks})
	}
}

func (a *Answers) askModels(p *prompt) {
	p.printLine("")
	for _, name := range p.list("Which models may callers name?", 0) {
		m := Model{Name: name, EngineName: p.line(fmt.Sprintf("What do the engines call %s, if something else?", name), "")}
		m.Adapters = p.list(fmt.Sprintf("Which adapters does %s have?", name), 0)
		m.MaxPrompt = p.number(fmt.Sprintf("How many tokens may a prompt to %s have?", name), DefaultMaxPrompt, 1, DefaultMaxPrompt)
		a.Models = append(a.Models, m)
	}
}

func (a *Answers) askServices(p *prompt) {
	p.printLine("")
	for _, name := range p.list("Which plain services stand beside the engines?", 0) {
		s := Service{Name: name}
		question := fmt.Sprintf("Which calls of %s must not run twice? (such as POST /receipts, POST /letters/*)", name)
		reply := p.askUntilValid(question, "", func(reply string) error {
			for _, call := range splitList(reply) {
				if _, _, err := SplitCall(call); err != nil {
					return err
				}
			}
			return nil
		})
		s.NonIdempotent = splitList(reply)
		a.Services = append(a.Services, s)
	}
}

func (a *Answers) askAccounts(p *prompt) {
	p.printLine("\nClient accounts are the customers on whose behalf requests are sent.")
	for _, name := range p.list("Which client accounts are there?", 1) {
		c := Account{Name: name}
		c.Size = Size(p.oneOf(fmt.Sprintf("How large is %s?", name), string(SizeSmall), sizes))
		c.Short = p.time(fmt.Sprintf("How long may short requests of %s take? 0s means the fleet's time.", name), 0)
		c.Long = p.time("And its long requests? 0s means the fleet's time.", 0)
		a.Accounts = append(a.Accounts, c)
	}
}

func (a *Answers) askInstances(p *prompt) {
	p.printLine("\nInstances are machines by their IP number. Leave a question empty where there are none.")
	for _, domain := range a.FailureDomains {
		a.askEntries(p, domain.Name)
		for _, m := range a.Models {
			a.askEndpoints(p, InstanceGroup{Name: m.Name + "-" + domain.Name, FailureDomain: domain.Name, Model: m.Name})
		}
		for _, s := range a.Services {
			a.askEndpoints(p, InstanceGroup{Name: s.Name + "-" + domain.Name, FailureDomain: domain.Name, Service: s.Name})
		}
	}
}

func (a *Answers) askEntries(p *prompt, domain string) {
	addresses := p.list(fmt.Sprintf("Which instances in %s take callers' requests? (IP numbers)", domain), 0)
	if len(addresses) == 0 {
		return
	}
	disk := p.line("Data folder on a dedicated disk? (empty for none)", "")
	a.Instances = append(a.Instances, InstanceGroup{
		Name: "entry-" + domain, Task: TaskEntry, FailureDomain: domain, Addresses: addresses,
		Port: DefaultPort, CallerPort: DefaultCallerPort, Disk: disk,
	})
}

func (a *Answers) askEndpoints(p *prompt, g InstanceGroup) {
	addresses := p.list(fmt.Sprintf("Which instances in %s serve %s? (IP numbers)", g.FailureDomain, g.Model+g.Service), 0)
	if len(addresses) == 0 {
		return
	}
	g.Task, g.Addresses, g.Port = TaskEndpoint, addresses, DefaultPort
	kinds := namesOf(a.EndpointKinds, func(k EndpointKind) string { return k.Name })
	g.Kind = p.oneOf("Which kind of endpoint are they?", kinds[0], kinds)
	g.URL = p.required("At which URL does each reach its own engine or service?", DefaultEngineURL)
	a.Instances = append(a.Instances, g)
}

// Outline holds the answers that can be given without a dialog. All other answers
// get defaults, to be edited in the file.
type Outline struct {
	Name           string
	FailureDomains []string
	Models         []string
	Services       []string
	Accounts       []string
	Entries        []string // IP numbers, assigned to the failure domains round-robin
	Endpoints      []string // IP numbers of the first model's engines, assigned likewise
	Disk           string
}

// FromOutline returns answers made from an outline, together with their faults if
// they are inconsistent.
func FromOutline(o Outline) (*Answers, error) {
	a := New()
	a.Name = o.Name
	a.Security.Plain = true
	a.EndpointKinds = []EndpointKind{{Name: "engines"}}
	for i, domain := range o.FailureDomains {
		a.FailureDomains = append(a.FailureDomains, FailureDomain{Name: domain, Region: "home"})
		for _, other := range o.FailureDomains[:i] {
			a.RoundTrips = append(a.RoundTrips, RoundTrip{Between: []string{other, domain}, Time: DefaultRoundTrip})
		}
		if addresses := everyNth(o.Entries, i, len(o.FailureDomains)); len(addresses) > 0 {
			a.Instances = append(a.Instances, InstanceGroup{Name: "entry-" + domain, Task: TaskEntry, FailureDomain: domain, Addresses: addresses, Disk: o.Disk})
		}
		if addresses := everyNth(o.Endpoints, i, len(o.FailureDomains)); len(addresses) > 0 && len(o.Models) > 0 {
			a.Instances = append(a.Instances, InstanceGroup{
				Name: "engine-" + domain, Task: TaskEndpoint, FailureDomain: domain, Addresses: addresses,
				Kind: "engines", Model: o.Models[0], URL: DefaultEngineURL,
			})
		}
	}
	for _, name := range o.Models {
		a.Models = append(a.Models, Model{Name: name})
	}
	for _, name := range o.Services {
		a.Services = append(a.Services, Service{Name: name})
	}
	for _, name := range o.Accounts {
		a.Accounts = append(a.Accounts, Account{Name: name})
	}
	a.applyDefaults()
	return a, a.Validate()
}

// everyNth returns every count-th item, beginning at start.
func everyNth(items []string, start, count int) []string {
	var selected []string
	for i := start; i < len(items); i += count {
		selected = append(selected, strings.TrimSpace(items[i]))
	}
	return selected
}
