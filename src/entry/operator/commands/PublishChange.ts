/** Publishes a configuration change: a template, an account or a server, or its retirement. */
import { subjectKey } from '../../../common/configuration/ConfigurationState.js';
import type { Change } from '../../../common/protocol/Configuration.js';
import { ChangeRequest, type OperatorError } from '../../../common/protocol/Operator.js';
import type { PublishError } from '../../../follower/Types.js';
import { refuse, type OperatorHandler } from '../Types.js';

/** Handles `POST /v1/operator/changes`. */
export const publishChange: OperatorHandler = async (services, call) => {
  const request = ChangeRequest.safeParse(call.body);
  if (!request.success) {
    const problems = request.error.issues.map(({ path, message }) => ({
      path: path as (string | number)[],
      message,
    }));
    return refuse({ kind: 'invalid', message: 'the change is not valid', problems });
  }
  const result = await services.writer.publish({ ...request.data, author: call.operator });
  if (!result.ok) return refuse(operatorErrorOf(result.error));
  services.logger.info('change published', {
    revision: result.change.revision,
    operator: call.operator,
    kind: result.change.subject.kind,
  });
  return { ok: true, body: { change: result.change } };
};

/**
 * Converts an error of the configuration publisher.
 * @param error - error of the publisher
 * @returns error of the operator API
 */
export function operatorErrorOf(error: PublishError): OperatorError {
  if (error.kind === 'conflict') {
    const { head, winner } = error;
    return { kind: 'conflict', message: describeConflict(winner), head, winner };
  }
  if (error.kind === 'invalid') {
    const problems = error.problems.map(({ path, message }) => ({ path: [...path], message }));
    return { kind: 'invalid', message: error.message, problems };
  }
  return error;
}

function describeConflict(winner: Change | null): string {
  if (!winner) return 'another change was committed first';
  const [kind, name] = subjectKey(winner).split('/');
  const at = new Date(winner.at).toISOString();
  return `revision ${winner.revision} was made first by ${winner.author} at ${at}: ${kind} "${name}" (change ${winner.changeId})`;
}
