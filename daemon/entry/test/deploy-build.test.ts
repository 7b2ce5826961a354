import { expect } from "chai";
import { spawnSync } from "node:child_process";
import {
    chmodSync,
    copyFileSync,
    existsSync,
    mkdirSync,
    mkdtempSync,
    readFileSync,
    rmSync,
    utimesSync,
    writeFileSync,
} from "node:fs";
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

describe("The check of the build tools", () => {
    const LOCKED = {
        "": { name: "project" },
        "node_modules/esbuild": { version: "0.28.2", integrity: "sha512-a" },
        "node_modules/typescript": { version: "6.0.2", integrity: "sha512-b", dev: true },
        "node_modules/@esbuild/linux-x64": { version: "0.28.2", integrity: "sha512-c", optional: true },
    };
    // The optional package belongs to another processor.
    const INSTALLED = {
        "node_modules/esbuild": LOCKED["node_modules/esbuild"],
        "node_modules/typescript": LOCKED["node_modules/typescript"],
    };
    const OLD_UNIX_S = 1_000_000_000;
    let directory: string;

    beforeEach(() => {
        directory = mkdtempSync(join(tmpdir(), "marigoldstall-build-"));
        mkdirSync(join(directory, "scripts"));
        copyFileSync("scripts/check-build-tools.mjs", join(directory, "scripts", "check-build-tools.mjs"));
        writePackage("typescript", "");
        writePackage("esbuild", "export const transformSync = () => undefined;");
    });

    afterEach(() => {
        rmSync(directory, { recursive: true, force: true });
    });

    const writePackage = (name: string, text: string): void => {
        const packageDirectory = join(directory, "node_modules", name);
        mkdirSync(packageDirectory, { recursive: true });
        writeFileSync(join(packageDirectory, "index.js"), text);
        writeFileSync(
            join(packageDirectory, "package.json"),
            JSON.stringify({ name, type: "module", main: "index.js" }),
        );
    };

    /** Runs the check with an installation that is older than the lock file. Returns its exit status. */
    const check = (installed: unknown, locked: unknown = LOCKED): number | undefined => {
        const installedFile = join(directory, "node_modules", ".package-lock.json");
        writeFileSync(join(directory, "package-lock.json"), JSON.stringify({ packages: locked }));
        writeFileSync(installedFile, JSON.stringify({ packages: installed }));
        utimesSync(installedFile, OLD_UNIX_S, OLD_UNIX_S);
        return spawnSync(process.execPath, ["scripts/check-build-tools.mjs"], { cwd: directory }).status ?? undefined;
    };

    // A checkout that changed only the time of the lock file made `npm ci` delete all packages. Without a network it could
    // not install them again, and the system did not start.
    it("accepts the packages of the lock file when only the time of that file changed", () => {
        expect(check(INSTALLED)).to.equal(0);
    });

    it("rejects another version, a missing package and one that the lock file does not name", () => {
        expect(check({ ...INSTALLED, "node_modules/esbuild": { version: "0.28.1", integrity: "sha512-d" } })).to.equal(
            1,
        );
        expect(check({ "node_modules/esbuild": LOCKED["node_modules/esbuild"] })).to.equal(1);
        expect(check({ ...INSTALLED, "node_modules/other": { version: "1.0.0" } })).to.equal(1);
        expect(check(INSTALLED, { ...LOCKED, "node_modules/other": { version: "1.0.0" } })).to.equal(1);
    });

    it("rejects packages without a record of their installation", () => {
        check(INSTALLED);
        rmSync(join(directory, "node_modules", ".package-lock.json"));
        const { status } = spawnSync(process.execPath, ["scripts/check-build-tools.mjs"], { cwd: directory });
        expect(status).to.equal(1);
    });

    it("rejects a build tool that does not run on this machine", () => {
        writePackage("esbuild", "export const transformSync = () => { throw new Error('another platform'); };");
        expect(check(INSTALLED)).to.equal(1);
    });
});
