// Exits with 1 unless the installed packages are those of the lock file and the build tools run on this kind of machine.
// Packages that came along from a machine with another processor contain a program that cannot run here.
import { statSync } from "node:fs";

const lockFile = statSync("package-lock.json");
const installed = statSync("node_modules/.package-lock.json", { throwIfNoEntry: false });
if (installed === undefined || installed.mtimeMs < lockFile.mtimeMs) {
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
