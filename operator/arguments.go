package operator

import (
	"strings"
	"time"
)

// commaList is an option that takes several values, separated by commas.
type commaList []string

// UnmarshalText implements encoding.TextUnmarshaler. A later value replaces an
// earlier one, so that an option overrides its environment variable.
func (l *commaList) UnmarshalText(text []byte) error {
	*l = nil
	for _, item := range strings.Split(string(text), ",") {
		if item = strings.TrimSpace(item); item != "" {
			*l = append(*l, item)
		}
	}
	return nil
}

// arguments is the command line. Exactly one subcommand must be given.
type arguments struct {
	Init       *initCommand       `arg:"subcommand:init" help:"answer the questionnaire"`
	Plan       *planCommand       `arg:"subcommand:plan" help:"make the configuration from the answers and tell what changes"`
	Check      *checkCommand      `arg:"subcommand:check" help:"check answers, configuration or settings files"`
	Accept     *acceptCommand     `arg:"subcommand:accept" help:"put the answers in force on the whole fleet"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show instances, endpoints, quorum and revisions in force"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"tell what happened to one request"`
	Losses     *lossesCommand     `arg:"subcommand:losses" help:"tell from the entries' logs why requests were late, refused or failed"`
	Timeline   *timelineCommand   `arg:"subcommand:timeline" help:"show the events of all daemons in order"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"make a daemon leave: no new work, what runs is finished"`
	Keys       *keysCommand       `arg:"subcommand:keys" help:"make keys of client accounts and certificates of instances"`
	Load       *loadCommand       `arg:"subcommand:load" help:"put open-loop load on the entries and report how it went"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"compare policies on emulated engines, without a fleet"`
	Member     *memberCommand     `arg:"subcommand:member" help:"change the members of the control quorum"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Operates a fleet of jacinthplank daemons: answers, plans, accepted revisions, status and timelines."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string { return exitCodes }

// fleetOptions are the options for connecting to the daemons.
type fleetOptions struct {
	Daemons     commaList     `arg:"--daemons,env:JACINTHPLANK_DAEMONS" help:"addresses of some daemons, IP:port with commas between; the rest is learned from them"`
	Generated   string        `arg:"--generated" default:"generated" help:"folder of generated files, to take the addresses from when --daemons is not given"`
	Certificate string        `arg:"--certificate,env:JACINTHPLANK_CERTIFICATE" help:"certificate of this operator"`
	Key         string        `arg:"--key,env:JACINTHPLANK_KEY" help:"key of the certificate"`
	Authority   string        `arg:"--authority,env:JACINTHPLANK_AUTHORITY" help:"certificate of the fleet's authority"`
	Timeout     time.Duration `arg:"--timeout" default:"5s" help:"longest time for one daemon to answer"`
}

type initCommand struct {
	Answers        string    `arg:"positional" default:"answers.toml" help:"answers file to write"`
	Replies        string    `arg:"--replies" help:"file of replies, one a line, in place of a conversation"`
	Name           string    `arg:"--name" help:"name of the fleet; with it, no questions are asked"`
	FailureDomains commaList `arg:"--failure-domains" help:"names of the failure domains"`
	Models         commaList `arg:"--models" help:"names of the models"`
	Services       commaList `arg:"--services" help:"names of the plain services"`
	Accounts       commaList `arg:"--accounts" help:"names of the client accounts"`
	Entries        commaList `arg:"--entries" help:"IP numbers of the entry instances, dealt to the failure domains in turn"`
	Endpoints      commaList `arg:"--endpoints" help:"IP numbers of the first model's endpoints, dealt likewise"`
	Disk           string    `arg:"--disk" default:"/var/lib/jacinthplank" help:"data folder on the entries' disks"`
	Force          bool      `arg:"--force" help:"replace an answers file that is there"`
}

type planCommand struct {
	Answers string `arg:"positional" default:"answers.toml" help:"answers file"`
	Output  string `arg:"--output" default:"generated" help:"folder for the generated files"`
	Dry     bool   `arg:"--dry" help:"only tell what would change"`
}

type checkCommand struct {
	Files []string `arg:"positional,required" help:"files: answers, fleet configurations or daemons' settings"`
}

type acceptCommand struct {
	Answers string        `arg:"positional" default:"answers.toml" help:"answers file"`
	Base    string        `arg:"--base" help:"revision that the answers are known to follow, EPOCH.REVISION; after a conflict"`
	Epoch   uint64        `arg:"--epoch" help:"raise the epoch; only after a control quorum was founded anew"`
	Author  string        `arg:"--author,env:USER" help:"name told to others"`
	Wait    time.Duration `arg:"--wait" default:"30s" help:"how long to wait until it is in force everywhere"`
	fleetOptions
}

type statusCommand struct {
	JSON bool `arg:"--json" help:"write JSON"`
	fleetOptions
}

type explainCommand struct {
	Request string `arg:"positional,required" help:"number of the request, as told to the caller"`
	fleetOptions
}

type lossesCommand struct {
	Logs []string `arg:"positional,required" help:"log files of the entries; - for standard input"`
}

type timelineCommand struct {
	Request  string        `arg:"--request" help:"only events of this request"`
	Endpoint string        `arg:"--endpoint" help:"only events of this endpoint"`
	Account  string        `arg:"--account" help:"only events of this client account"`
	Since    time.Duration `arg:"--since" default:"10m" help:"how far back"`
	From     string        `arg:"--from" help:"start, such as 2026-03-02T12:00:00Z, in place of --since"`
	To       string        `arg:"--to" help:"end, likewise"`
	Limit    int           `arg:"--limit" default:"10000" help:"most events of each daemon"`
	Format   string        `arg:"--format" default:"text" help:"text, json or html"`
	Output   string        `arg:"--output" help:"file to write to in place of the terminal"`
	fleetOptions
}

type drainCommand struct {
	Daemon string        `arg:"positional,required" help:"name of the daemon"`
	Wait   time.Duration `arg:"--wait" default:"10m" help:"how long to wait for what runs"`
	fleetOptions
}

type keysCommand struct {
	Account   *accountKeyCommand `arg:"subcommand:account" help:"make a key for a client account and its digest for the answers"`
	Authority *authorityCommand  `arg:"subcommand:authority" help:"make the fleet's certificate authority"`
	Instance  *instanceCommand   `arg:"subcommand:instance" help:"make the certificate of one instance or operator"`
}

type accountKeyCommand struct{}

type authorityCommand struct {
	Folder string `arg:"--folder" default:"keys" help:"folder for the authority's files; keep it safe"`
}

type instanceCommand struct {
	Name    string    `arg:"positional,required" help:"name of the instance"`
	Address commaList `arg:"--address,required" help:"its IP numbers"`
	Folder  string    `arg:"--folder" default:"keys" help:"folder of the authority's files"`
}

type memberCommand struct {
	Add     *memberAddCommand     `arg:"subcommand:add" help:"add a member"`
	Remove  *memberRemoveCommand  `arg:"subcommand:remove" help:"remove a member"`
	Replace *memberReplaceCommand `arg:"subcommand:replace" help:"put a new member in the place of one that is lost"`
}

type memberAddCommand struct {
	Name    string `arg:"positional,required" help:"name of the new member"`
	Address string `arg:"positional,required" help:"its address, IP:port"`
	fleetOptions
}

type memberRemoveCommand struct {
	Name string `arg:"positional,required" help:"name of the member"`
	fleetOptions
}

type memberReplaceCommand struct {
	Lost    string `arg:"positional,required" help:"name of the member that is lost"`
	Name    string `arg:"positional,required" help:"name of the new member; its disk must be empty"`
	Address string `arg:"positional,required" help:"address of the new member, IP:port"`
	fleetOptions
}
