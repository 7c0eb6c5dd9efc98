// A worker of the stand-in, as a process of its own, so that it can be stopped: node worker.mjs ID.
// Prints its port, and a line for each request that it runs.
import http from 'node:http';

const [, , id] = process.argv;
const WORK_MS = 20;

const server = http.createServer((request, response) => {
  const arrivedAt = Date.now();
  request.resume();
  const echo = {
    'Citronstage-Attempt-Id': request.headers['citronstage-attempt-id'] ?? '',
    'Citronstage-Instance-Id': id,
  };
  if (request.url === '/health') {
    response.writeHead(200, echo).end();
  } else if (request.headers['citronstage-expect-instance'] !== id) {
    response.writeHead(421, { ...echo, 'Citronstage-Not-Executed': '1' }).end();
  } else {
    process.stdout.write(`${JSON.stringify({ run: echo['Citronstage-Attempt-Id'], arrivedAt })}\n`);
    const seal = { 'Citronstage-Response-Seal': `seal.${id}` };
    setTimeout(() => response.writeHead(200, { ...echo, ...seal, 'Content-Length': 2 }).end('ok'), WORK_MS);
  }
});
server.listen({ port: 0, host: '127.0.0.1', backlog: 16 }, () =>
  process.stdout.write(`${JSON.stringify({ port: server.address().port })}\n`),
);
