package soak

import (
	"archive/tar"
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Build is a build of gw-edge and gw-core.
type Build struct {
	// Name stands for the build in findings.
	Name string
	// Dir is the folder with the programs.
	Dir string
}

const sourceAddressFlag = "--source-address"

// takesSourceAddress reports whether entries of the build open their connections to runners
// from a stated address, so that they can be cut off.
func (b Build) takesSourceAddress(ctx context.Context) (bool, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(b.Dir, edgeProgram), "--help").CombinedOutput()
	return bytes.Contains(out, []byte(sourceAddressFlag)), errors.Wrapf(err, "asking %s of %s for its flags", edgeProgram, b.Name)
}

// has reports whether the folder holds both programs.
func (b Build) has() bool {
	for _, program := range programs {
		if _, err := os.Stat(filepath.Join(b.Dir, program)); err != nil {
			return false
		}
	}
	return true
}

const (
	edgeProgram = "gw-edge"
	coreProgram = "gw-core"
	versionFlag = "-X godwitward.example/godwitward/internal/settings.Version="
)

var programs = []string{edgeProgram, coreProgram}

// BuildSource builds the programs of the source in a folder, with a name as their version.
func BuildSource(ctx context.Context, source, name, dir string) (Build, error) {
	args := []string{"build", "-buildvcs=false", "-ldflags", versionFlag + name, "-o", dir + string(filepath.Separator)}
	for _, program := range programs {
		args = append(args, "./cmd/"+program)
	}
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = source
	if out, err := cmd.CombinedOutput(); err != nil {
		return Build{}, errors.Wrapf(err, "building %s: %s", name, bytes.TrimSpace(out))
	}
	return Build{Name: name, Dir: dir}, nil
}

// OpenBuild returns the build that from names: a folder with the programs, or a commit of
// the repository that holds the current folder, whose programs are built below dir.
func OpenBuild(ctx context.Context, from, dir string) (Build, error) {
	if b := (Build{Name: filepath.Base(from), Dir: from}); b.has() {
		return b, nil
	}
	commit, err := exec.CommandContext(ctx, "git", "rev-parse", "--verify", "--quiet", "--short=7", from+"^{commit}").Output()
	if err != nil {
		return Build{}, errors.Errorf("%q is neither a folder with %s nor a commit in the history of this repository (a shallow clone lacks older ones)", from, strings.Join(programs, " and "))
	}
	name := strings.TrimSpace(string(commit))
	source := filepath.Join(dir, name+"-source")
	if err := exportCommit(ctx, name, source); err != nil {
		return Build{}, errors.Wrap(err, "reading the source of "+name)
	}
	defer os.RemoveAll(source)
	binaries := filepath.Join(dir, name)
	if err := os.MkdirAll(binaries, 0o700); err != nil {
		return Build{}, errors.Wrap(err, "creating the folder of "+name)
	}
	return BuildSource(ctx, source, name, binaries)
}

// exportCommit writes the files of a commit into a folder.
func exportCommit(ctx context.Context, commit, dir string) error {
	cmd := exec.CommandContext(ctx, "git", "archive", "--format=tar", commit, "--", ".", ":!journal", ":!review")
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	extractErr := extract(tar.NewReader(out), dir)
	if err := cmd.Wait(); err != nil {
		return errors.Wrap(err, "git archive")
	}
	return extractErr
}

func extract(r *tar.Reader, dir string) error {
	for {
		h, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if h.Typeflag != tar.TypeReg {
			continue
		}
		path := filepath.Join(dir, filepath.Clean("/"+h.Name))
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return err
		}
		content, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return err
		}
	}
}
