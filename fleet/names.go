package fleet

// FailureDomainNames returns the names of the failure domains, in order.
func (c *Configuration) FailureDomainNames() []string {
	names := make([]string, len(c.FailureDomains))
	for i, d := range c.FailureDomains {
		names[i] = d.Name
	}
	return names
}

// ModelNames returns the names of the models, in order.
func (c *Configuration) ModelNames() []string {
	names := make([]string, len(c.Models))
	for i, m := range c.Models {
		names[i] = m.Name
	}
	return names
}

// ServiceNames returns the names of the plain services, in order.
func (c *Configuration) ServiceNames() []string {
	names := make([]string, len(c.Services))
	for i, s := range c.Services {
		names[i] = s.Name
	}
	return names
}
