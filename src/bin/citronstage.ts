/** Command line for operators, without the commands that know the platform's formats. */
import { runCliProgram } from '../cli/CliProgram.js';

await runCliProgram();
