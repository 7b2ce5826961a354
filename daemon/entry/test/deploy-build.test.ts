import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { chmodSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";

const TEST_TIMEOUT_MS = 60_000;

// npm prints nothing with `--silent`, not even why it failed.
const FAILING_NPM = `#!/bin/sh
case " $* " in *" --silent "*) ;; *) echo "npm error code ENOTCACHED" >&2 ;; esac
exit 1
`;
const RECORDING_NPX = `#!/bin/sh
echo "$*" >> npx-calls
`;

const readBuildLine = (): string => {
    const line = /^build = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    expect(line, "the line `build` of deploy/system.toml").to.be.a("string");
    return line ?? "";
};

describe("The build line of the deploy file", () => {
    let directory: string;

    beforeEach(() => {
        directory = mkdtempSync(join(tmpdir(), "marigoldstall-build-"));
        mkdirSync(join(directory, "bin"));
        mkdirSync(join(directory, "scripts"));
        writeFileSync(join(directory, "scripts", "check-build-tools.mjs"), "process.exit(1);");
    });

    afterEach(() => {
        rmSync(directory, { recursive: true, force: true });
    });

    const writeProgram = (name: string, text: string): void => {
        const file = join(directory, "bin", name);
        writeFileSync(file, text);
        chmodSync(file, 0o755);
    };

    // The line went on after a failed installation. `npx tsc` then fetched the package `tsc`, which is not the compiler, and
    // the build ended with a message about that package instead of the cause.
    it("stops with the message of npm when the packages cannot be installed", () => {
        writeProgram("npm", FAILING_NPM);
        writeProgram("npx", RECORDING_NPX);
        const build = spawnSync("sh", ["-c", readBuildLine()], {
            cwd: directory,
            env: { PATH: `${join(directory, "bin")}:${dirname(process.execPath)}:/usr/bin:/bin` },
            encoding: "utf8",
        });
        expect(build.status).to.not.equal(0);
        expect(build.stderr).to.contain("npm error code ENOTCACHED");
        expect(existsSync(join(directory, "npx-calls"))).to.equal(false);
    }).timeout(TEST_TIMEOUT_MS);
});
