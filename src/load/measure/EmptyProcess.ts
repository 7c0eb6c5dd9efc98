/** Process without work of its own; its memory and CPU time are those of Node.js itself. */
process.stdout.write('{"ready":true}\n');
setInterval(() => undefined, 60_000);
