package questionnaire

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
)

// Ask puts the whole questionnaire to a person, or to a file of replies with one
// reply a line. An empty reply takes what stands in brackets. Answers that do not
// fit together are returned with their faults.
func Ask(in io.Reader, out io.Writer) (*Answers, error) {
	p := &prompt{in: bufio.NewScanner(in), out: out, echo: in != io.Reader(os.Stdin)}
	a := New()
	a.askFleet(p)
	a.askPlaces(p)
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
	p.say("Reply to each question with Enter. What stands in [brackets] is taken when you write nothing.\n")
	a.Name = p.required("What is the fleet called?", "")
	a.Times.Short = p.time("How long may an answer to a prompt up to 32,000 tokens take?", a.Times.Short)
	a.Times.Long = p.time("And to a longer prompt?", a.Times.Long)
	a.Times.Remember = p.time("How long is a call that may run only once remembered?", a.Times.Remember)
	a.Security.Plain = !p.yes("Do you have TLS certificates for the instances?", false)
	if !a.Security.Plain {
		a.Security.Certificate = p.required("Path of the certificate on each instance?", "/etc/jacinthplank/instance.crt")
		a.Security.Key = p.required("Path of its key?", "/etc/jacinthplank/instance.key")
		a.Security.Authority = p.required("Path of the authority's certificate?", "/etc/jacinthplank/authority.crt")
	}
}

func (a *Answers) askPlaces(p *prompt) {
	p.say("\nPlaces that can be lost as a whole are failure domains: a room, a site, a provider's zone.")
	names := p.list("Which are there? (names with commas between)", 1)
	region := ""
	for _, name := range names {
		region = p.required(fmt.Sprintf("In which region is %s?", name), region)
		a.FailureDomains = append(a.FailureDomains, FailureDomain{Name: name, Region: region})
	}
	last := DefaultRoundTrip
	for i, one := range names {
		for _, other := range names[i+1:] {
			last = p.time(fmt.Sprintf("How long does a message take from %s to %s and back?", one, other), last)
			a.RoundTrips = append(a.RoundTrips, RoundTrip{Between: []string{one, other}, Time: last})
		}
	}
}

func (a *Answers) askEndpointKinds(p *prompt) {
	p.say("\nEngines and plain services are endpoints. Some refuse an order (load a model, change role) that carries an old fencing number; others ignore the number.")
	for _, name := range p.list("Which kinds of endpoint do you have?", 1) {
		checks := p.yes(fmt.Sprintf("Do endpoints of kind %s refuse orders with an old fencing number?", name), false)
		a.EndpointKinds = append(a.EndpointKinds, EndpointKind{Name: name, ChecksOrders: checks})
	}
}

func (a *Answers) askModels(p *prompt) {
	p.say("")
	for _, name := range p.list("Which models may callers name?", 0) {
		m := Model{Name: name, EngineName: p.line(fmt.Sprintf("What do the engines call %s, if something else?", name), "")}
		m.Adapters = p.list(fmt.Sprintf("Which adapters does %s have?", name), 0)
		m.MaxPrompt = p.number(fmt.Sprintf("How many tokens may a prompt to %s have?", name), DefaultMaxPrompt, 1, DefaultMaxPrompt)
		a.Models = append(a.Models, m)
	}
}

func (a *Answers) askServices(p *prompt) {
	p.say("")
	for _, name := range p.list("Which plain services stand beside the engines?", 0) {
		s := Service{Name: name}
		question := fmt.Sprintf("Which calls of %s must not run twice? (such as POST /receipts, POST /letters/*)", name)
		reply := p.until(question, "", func(reply string) error {
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
	p.say("\nClient accounts are those on whose behalf requests come.")
	for _, name := range p.list("Which are there?", 1) {
		c := Account{Name: name}
		c.Size = Size(p.oneOf(fmt.Sprintf("How large is %s?", name), string(SizeSmall), sizes))
		c.Short = p.time(fmt.Sprintf("How long may short requests of %s take? 0s means the fleet's time.", name), 0)
		c.Long = p.time("And its long requests? 0s means the fleet's time.", 0)
		a.Accounts = append(a.Accounts, c)
	}
}

func (a *Answers) askInstances(p *prompt) {
	p.say("\nInstances are machines by their IP number. Leave a question empty where there are none.")
	for _, place := range a.FailureDomains {
		a.askEntries(p, place.Name)
		for _, m := range a.Models {
			a.askEndpoints(p, Instances{Name: m.Name + "-" + place.Name, FailureDomain: place.Name, Model: m.Name})
		}
		for _, s := range a.Services {
			a.askEndpoints(p, Instances{Name: s.Name + "-" + place.Name, FailureDomain: place.Name, Service: s.Name})
		}
	}
}

func (a *Answers) askEntries(p *prompt, place string) {
	addresses := p.list(fmt.Sprintf("Which instances in %s take callers' requests? (IP numbers)", place), 0)
	if len(addresses) == 0 {
		return
	}
	disk := p.line("Data folder on a disk of their own? (empty when they have none)", "")
	a.Instances = append(a.Instances, Instances{
		Name: "entry-" + place, Task: TaskEntry, FailureDomain: place, Addresses: addresses,
		Port: DefaultPort, CallerPort: DefaultCallerPort, Disk: disk,
	})
}

func (a *Answers) askEndpoints(p *prompt, g Instances) {
	addresses := p.list(fmt.Sprintf("Which instances in %s serve %s? (IP numbers)", g.FailureDomain, g.Model+g.Service), 0)
	if len(addresses) == 0 {
		return
	}
	g.Task, g.Addresses, g.Port = TaskEndpoint, addresses, DefaultPort
	kinds := namesOf(a.EndpointKinds, func(k EndpointKind) string { return k.Name })
	g.Kind = p.oneOf("Of which kind are they?", kinds[0], kinds)
	g.URL = p.required("Under which URL does each reach its own engine or service?", DefaultEngineURL)
	a.Instances = append(a.Instances, g)
}

// Outline is what can be answered without a conversation. The rest gets
// defaults, to be edited in the file.
type Outline struct {
	Name           string
	FailureDomains []string
	Models         []string
	Services       []string
	Accounts       []string
	Entries        []string // IP numbers, dealt to the failure domains in turn
	Endpoints      []string // IP numbers of the first model's engines, dealt likewise
	Disk           string
}

// Fill returns answers made from an outline, with their faults when they do not
// fit together.
func Fill(o Outline) (*Answers, error) {
	a := New()
	a.Name = o.Name
	a.Security.Plain = true
	a.EndpointKinds = []EndpointKind{{Name: "engines"}}
	for i, place := range o.FailureDomains {
		a.FailureDomains = append(a.FailureDomains, FailureDomain{Name: place, Region: "home"})
		for _, other := range o.FailureDomains[:i] {
			a.RoundTrips = append(a.RoundTrips, RoundTrip{Between: []string{other, place}, Time: DefaultRoundTrip})
		}
		if mine := deal(o.Entries, i, len(o.FailureDomains)); len(mine) > 0 {
			a.Instances = append(a.Instances, Instances{Name: "entry-" + place, Task: TaskEntry, FailureDomain: place, Addresses: mine, Disk: o.Disk})
		}
		if mine := deal(o.Endpoints, i, len(o.FailureDomains)); len(mine) > 0 && len(o.Models) > 0 {
			a.Instances = append(a.Instances, Instances{
				Name: "engine-" + place, Task: TaskEndpoint, FailureDomain: place, Addresses: mine,
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
	a.fillIn()
	return a, a.Validate()
}

// deal returns every count-th item from start on.
func deal(items []string, start, count int) []string {
	var mine []string
	for i := start; i < len(items); i += count {
		mine = append(mine, strings.TrimSpace(items[i]))
	}
	return mine
}
