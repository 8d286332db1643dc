import type {AgentSettings} from '@chicoryspring/agent';
import type {StopSchedule} from '@chicoryspring/contracts';
import type {EntrySettings} from '@chicoryspring/entry';
import {createAgentStateLog} from '../telemetry/agent_state_log_factory.js';
import {createEntryStateLog} from '../telemetry/entry_state_log_factory.js';
import {createMetrics} from '../telemetry/metrics_factory.js';
import {SETTINGS_TABLE} from '../settings/settings_table.js';
import type {Role} from './role_types.js';

type CollectorAddress = Parameters<typeof createMetrics>[0];
type Values = Readonly<Record<string, unknown>>;

type StopRole = (stop: StopSchedule) => Promise<void>;

async function startEntry(values: Values): Promise<StopRole> {
  const {EntryProcess} = await import('@chicoryspring/entry');
  const settings = values as unknown as EntrySettings;
  const {name, failureDomain} = settings;
  const commonFields = {entry: name, failureDomain};
  const metrics = await createMetrics(
    values['metricsAddress'] as CollectorAddress,
    commonFields,
  );
  const stateLog = await createEntryStateLog(values['stateLog'], commonFields);
  const entry = new EntryProcess(settings, {metrics, stateLog});
  await entry.start();
  return stop => entry.drain(stop);
}

async function startAgent(values: Values): Promise<StopRole> {
  const {AgentObserver, AgentProcess, createAgentServer} =
    await import('@chicoryspring/agent');
  const settings = toAgentSettings(values);
  const {worker, failureDomain} = settings;
  const commonFields = {worker, failureDomain};
  const metrics = await createMetrics(
    values['metricsAddress'] as CollectorAddress,
    commonFields,
  );
  const stateLog = createAgentStateLog(values['stateLog'], commonFields);
  const observer = new AgentObserver(metrics, stateLog);
  const agent = new AgentProcess(settings, observer);
  const server = createAgentServer(agent, settings.bodyBudgetMebibytes);
  await server.listen(settings.host, settings.port);
  await agent.start();
  return async stop => {
    await agent.drain(stop);
    await server.stop(stop);
  };
}

/** Groups the resources of the worker as its capacity. */
function toAgentSettings(values: Values): AgentSettings {
  const {processors, memoryMebibytes, accelerators, ...others} = values;
  const capacity = {processors, memoryMebibytes, accelerators};
  return {...others, capacity} as unknown as AgentSettings;
}

/** Roles of `chicoryspringd`; each imports its modules only when it starts. */
export const ROLE_REGISTRY: Readonly<Record<string, Role>> = {
  entry: {
    description:
      'Serves callers and operators; schedules work and routes requests',
    settings: SETTINGS_TABLE.entry,
    stopTerms: {noticeMilliseconds: 2_300, holdMilliseconds: 10_000},
    start: startEntry,
  },
  agent: {
    description:
      'Runs next to a target and allocates the capacity of its worker',
    settings: SETTINGS_TABLE.agent,
    stopTerms: {noticeMilliseconds: 0, holdMilliseconds: 0},
    start: startAgent,
  },
};
