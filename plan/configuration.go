// Package plan generates the fleet configuration and the settings of each daemon from
// the answers to the questionnaire. It also describes in plain sentences the effects of
// changed answers.
package plan

import (
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/questionnaire"
)

// shareBySize maps the size of an account to its scheduling weight.
var shareBySize = map[questionnaire.Size]int{
	questionnaire.SizeSmall:  1,
	questionnaire.SizeMedium: 2,
	questionnaire.SizeLarge:  4,
}

// Configuration returns the fleet configuration for the answers.
func Configuration(a *questionnaire.Answers) *fleet.Configuration {
	c := &fleet.Configuration{Name: a.Name, Limits: fleet.DefaultLimits()}
	c.Limits.ShortDeadline = a.Times.Short
	c.Limits.LongDeadline = a.Times.Long
	c.Limits.OnceRetention = a.Times.Remember
	for _, d := range a.FailureDomains {
		c.FailureDomains = append(c.FailureDomains, failureDomain(a, d))
	}
	for _, m := range a.Models {
		c.Models = append(c.Models, model(a, m))
	}
	for _, account := range a.Accounts {
		c.Accounts = append(c.Accounts, clientAccount(account))
	}
	for _, s := range a.Services {
		c.Services = append(c.Services, service(s))
	}
	for _, k := range a.EndpointKinds {
		c.EndpointKinds = append(c.EndpointKinds, fleet.EndpointKind{Name: k.Name, ChecksFencing: k.ChecksOrders})
	}
	return c
}

func failureDomain(a *questionnaire.Answers, d questionnaire.FailureDomain) fleet.FailureDomain {
	distance := map[string]int{}
	for _, trip := range a.RoundTrips {
		micros := int(trip.Time.D().Microseconds())
		switch d.Name {
		case trip.Between[0]:
			distance[trip.Between[1]] = micros
		case trip.Between[1]:
			distance[trip.Between[0]] = micros
		}
	}
	return fleet.FailureDomain{Name: d.Name, Region: d.Region, Distance: distance}
}

func model(a *questionnaire.Answers, m questionnaire.Model) fleet.Model {
	endpoints := 0
	for _, g := range a.Instances {
		if g.Task == questionnaire.TaskEndpoint && g.Model == m.Name {
			endpoints += len(g.Addresses)
		}
	}
	return fleet.Model{
		Name:       m.Name,
		EngineName: m.EngineName,
		Adapters:   m.Adapters,
		Endpoints:  max(endpoints, 1),
		MaxPrompt:  m.MaxPrompt,
	}
}

func clientAccount(a questionnaire.Account) fleet.Account {
	return fleet.Account{
		Name:           a.Name,
		KeyDigests:     a.KeyDigests,
		Models:         a.Models,
		Share:          shareBySize[a.Size],
		ShortTokenRate: a.ShortTokens,
		LongTokenRate:  a.LongTokens,
		ShortDeadline:  a.Short,
		LongDeadline:   a.Long,
	}
}

func service(s questionnaire.Service) fleet.Service {
	result := fleet.Service{Name: s.Name}
	for _, call := range s.NonIdempotent {
		method, path, err := questionnaire.SplitCall(call)
		if err != nil {
			continue // cannot happen with validated answers
		}
		result.Once = append(result.Once, fleet.OnceRoute{Method: method, Path: path})
	}
	return result
}
