// Exits with 1 unless the installed packages are those of the lock file and the build tools run on this kind of machine.
// Packages that came along from a machine with another processor contain a program that cannot run here.
import { readFileSync } from "node:fs";
import { isDeepStrictEqual } from "node:util";

const readPackages = file => {
    try {
        return JSON.parse(readFileSync(file, "utf8")).packages;
    }
    catch (error) {
        console.error(`cannot read ${file}: ${String(error)}`);
        return process.exit(1);
    }
};

// The content is compared, as a checkout changes the time of the lock file without changing a package. `npm ci` would
// then delete packages that it cannot install again without a network.
const locked = readPackages("package-lock.json");
const installed = readPackages("node_modules/.package-lock.json");
// The other fields of an entry depend on the version of npm.
const selectIdentity = ({ version, resolved, integrity }) => ({ version, resolved, integrity });
const isCurrent = path =>
    installed[path] === undefined
        ? locked[path].optional === true
        : isDeepStrictEqual(selectIdentity(installed[path]), selectIdentity(locked[path]));
const isLocked = path => locked[path] !== undefined;
if (!Object.keys(locked).every(path => path === "" || isCurrent(path)) || !Object.keys(installed).every(isLocked)) {
    console.error("the installed packages are not those of the lock file");
    process.exit(1);
}
try {
    await import("typescript");
    const { transformSync } = await import("esbuild");
    transformSync("");
}
catch (error) {
    console.error(`the build tools do not run on this machine: ${String(error)}`);
    process.exit(1);
}
