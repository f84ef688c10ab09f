package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/demo"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	"github.com/wheatweir/wheatweir/lab/standin/registry"
	"github.com/wheatweir/wheatweir/lab/standin/service"
)

// machineFlags describe a stand-in that runs as its own process.
type machineFlags struct {
	listen   string
	name     string
	zone     string
	platform string
}

func (f *machineFlags) add(command *kingpin.CmdClause) {
	command.Flag("listen", "Address to listen on.").PlaceHolder("IP:PORT").Required().StringVar(&f.listen)
	command.Flag("name", "Name of the machine.").Required().StringVar(&f.name)
	command.Flag("zone", "Zone of the machine.").Default("zone-1").StringVar(&f.zone)
	command.Flag("platform", "Address of the stand-in platform.").PlaceHolder("IP:PORT").Required().StringVar(&f.platform)
}

// serve registers a machine and waits for the end.
func (f *machineFlags) serve(machine api.Machine, end func()) error {
	defer end()
	machine.Name, machine.Zone, machine.State = f.name, f.zone, api.MachineLive
	if err := registry.Register(f.platform, machine); err != nil {
		return err
	}
	ctx, cancel := interruptible()
	defer cancel()
	fmt.Printf("%s serves on %s\n", f.name, machine.Address)
	<-ctx.Done()
	return nil
}

func addStandIns(lab *kingpin.CmdClause) {
	addPlatform(lab)
	addEngine(lab)
	addService(lab)
	addCreate(lab)
}

func addPlatform(lab *kingpin.CmdClause) {
	command := lab.Command("platform", "Run the stand-in platform as its own process.")
	listen := command.Flag("listen", "Address to listen on.").PlaceHolder("IP:PORT").Required().String()
	settings := objectstore.DefaultSettings()
	command.Flag("writes", "Writes a second.").Default("100").Float64Var(&settings.WritesPerSecond)
	command.Flag("reads", "Reads a second.").Default("2000").Float64Var(&settings.ReadsPerSecond)
	command.Flag("lag", "Lag of the machine list.").Default("2s").DurationVar(&settings.MachineLag)
	command.Action(func(*kingpin.ParseContext) error {
		server, err := objectstore.Listen(*listen, settings)
		if err != nil {
			return err
		}
		defer server.Close()
		ctx, cancel := interruptible()
		defer cancel()
		fmt.Printf("platform serves on %s\n", server.Address())
		<-ctx.Done()
		return nil
	})
}

func addEngine(lab *kingpin.CmdClause) {
	command := lab.Command("engine", "Run a stand-in engine as its own process.")
	flags := &machineFlags{}
	flags.add(command)
	memory := command.Flag("memory-gib", "Accelerator memory.").Default("80").Int64()
	unfenced := command.Flag("unfenced", "Check no fences.").Bool()
	load := command.Flag("load-time", "Time of one load.").Default("500ms").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		settings := engine.DefaultSettings(flags.name)
		settings.MemoryBytes = *memory << 30
		settings.ChecksFence = !*unfenced
		settings.LoadTime = func(time.Time, int64) time.Duration { return *load }
		server, err := engine.Listen(flags.listen, settings)
		if err != nil {
			return err
		}
		return flags.serve(api.Machine{
			Role: api.RoleEngine, Address: server.Address(), MemoryBytes: settings.MemoryBytes,
			Accelerators: 1, ChecksFence: settings.ChecksFence,
		}, server.Close)
	})
}

func addService(lab *kingpin.CmdClause) {
	command := lab.Command("service", "Run a machine of a stand-in plain service as its own process.")
	flags := &machineFlags{}
	flags.add(command)
	command.Action(func(*kingpin.ParseContext) error {
		server, err := service.Listen(flags.listen, 0)
		if err != nil {
			return err
		}
		return flags.serve(api.Machine{Role: api.RoleService, Address: server.Address()}, server.Close)
	})
}

func addCreate(lab *kingpin.CmdClause) {
	command := lab.Command("create-models", "Create the demo's models through running daemons and wait until they answer.")
	addresses := command.Flag("daemon", "Caller address of a daemon; repeat for each.").PlaceHolder("IP:PORT").Required().Strings()
	credential := command.Flag("credential", "Operators' credential.").Envar(environmentCredential).Required().String()
	machines := command.Flag("machines", "Number of engines and service machines to wait for.").Default("1").Int()
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := interruptible()
		defer cancel()
		caller := client.New(*addresses)
		defer caller.Close()
		if err := demo.SetupAt(ctx, *addresses, *credential, *machines, caller, os.Stdout); err != nil {
			return err
		}
		demo.PrintLines(os.Stdout, (*addresses)[0], *credential)
		return nil
	})
}

func addUp(lab *kingpin.CmdClause) {
	command := lab.Command("up", "Run stand-ins and daemons until interrupted, and print lines to try.")
	path := command.Flag("log", "Write the daemons' log lines to a file.").PlaceHolder("FILE").String()
	command.Action(func(*kingpin.ParseContext) error { return runWithLog(*path, demo.Up) })
}
