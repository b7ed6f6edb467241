package operator

import (
	"context"
	"fmt"
	"net"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/keys"
)

func (c *keysCommand) run(context.Context, Terminal) error {
	return exitWith(ExitBadInput, "missing subcommand: expected account, authority or instance")
}

func (c *accountKeyCommand) run(_ context.Context, t Terminal) error {
	key := keys.AccountKey()
	fmt.Fprintf(t.Out, "key     %s\ndigest  %s\n", key, keys.Digest(key))
	fmt.Fprintln(t.Err, "Give the key to the client account; it is not stored anywhere. Add the digest to key_digests of the account in the answers.")
	return nil
}

func (c *authorityCommand) run(_ context.Context, t Terminal) error {
	err := keys.CreateAuthority(c.Folder)
	if trace.IsAlreadyExists(err) {
		return exitWith(ExitBadInput, "%s", trace.UserMessage(err))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "The authority is in %s. Its key signs the certificates of all instances: do not store the folder on the instances.\n", c.Folder)
	return nil
}

func (c *instanceCommand) run(_ context.Context, t Terminal) error {
	var ips []net.IP
	for _, text := range c.Address {
		ip := net.ParseIP(text)
		if ip == nil {
			return exitWith(ExitBadInput, "--address: found %q; expected an IP address", text)
		}
		ips = append(ips, ip)
	}
	files, err := keys.Issue(c.Folder, c.Name, ips)
	if trace.IsNotFound(err) {
		return exitWith(ExitBadInput, "there is no authority in %s; `jacinthplank keys authority --folder %s` creates one", c.Folder, c.Folder)
	}
	if trace.IsBadParameter(err) {
		return exitWith(ExitBadInput, "%s", trace.UserMessage(err))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "certificate  %s\nkey          %s\nauthority    %s\n", files.Certificate, files.Key, files.Authority)
	return nil
}
