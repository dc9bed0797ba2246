/** The binary `hornbeampondctl`. */
import { runCommandLine } from './runCommandLine.js';

process.exitCode = await runCommandLine(process.argv.slice(2), {
  environment: process.env,
  isTerminal: Boolean(process.stdout.isTTY),
  print: (line) => console.log(line),
  printError: (line) => console.error(line),
});
