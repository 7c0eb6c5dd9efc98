/** An empty process: what Node.js itself costs. */
process.stdout.write('{"ready":true}\n');
setInterval(() => undefined, 60_000);
