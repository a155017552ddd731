//! The sending side of an exchange.

use super::*;

impl Exchange<'_> {
    pub(super) fn queue_preamble(&mut self) {
        let sql = match &self.connection.target {
            ConnectionTarget::Vm { .. } => peer_preamble(self.session),
            ConnectionTarget::Member { .. }
                if self.connection.parameters != self.session.parameters =>
            {
                parameters_preamble(self.session)
            }
            ConnectionTarget::Member { .. } => return,
        };
        message::put_query(self.connection.wire.output(), &sql);
        self.connection.parameters = self.session.parameters.clone();
        self.stage = Stage::Preamble;
    }

    pub(super) fn queue(&mut self, request: &Request) -> Result<()> {
        if request.ending == Ending::Query {
            for frame in &request.frames {
                self.connection.wire.push(&frame.bytes);
            }
            return Ok(());
        }
        let mut parsed_unnamed = false;
        for frame in &request.frames {
            match frame.tag() {
                from_caller::PARSE => parsed_unnamed |= self.queue_parse(frame)?,
                from_caller::BIND => self.queue_bind(frame, parsed_unnamed)?,
                from_caller::DESCRIBE => self.queue_describe(frame, parsed_unnamed)?,
                from_caller::CLOSE => self.queue_close(frame)?,
                from_caller::EXECUTE => {
                    self.pending.push(PendingResponse::Execute);
                    self.connection.wire.push(&frame.bytes);
                }
                _ => self.connection.wire.push(&frame.bytes),
            }
        }
        Ok(())
    }

    /// Queues a `Parse`; returns `true` if it is of the unnamed statement.
    pub(super) fn queue_parse(&mut self, frame: &Frame) -> Result<bool> {
        let parse: pgwire::messages::extendedquery::Parse = message::read(frame)?;
        let name = parse.name.unwrap_or_default();
        if name.is_empty() {
            self.connection.unnamed = self.session.unnamed.as_ref().map(|p| p.key.clone());
            self.pending.push(PendingResponse::Parse {
                key: None,
                is_requested: true,
            });
            self.connection.wire.push(&frame.bytes);
            return Ok(true);
        }
        let class = crate::proxy::class_cache::class_of(&parse.query);
        let prepared = Prepared::new(&parse.query, &parse.type_oids, class);
        if self.connection.prepared.contains(&prepared.key) {
            self.pending.push(PendingResponse::OwnParse);
            return Ok(false);
        }
        self.put_parse(&prepared, true);
        Ok(false)
    }

    pub(super) fn put_parse(&mut self, prepared: &Prepared, is_requested: bool) {
        let output = self.connection.wire.output();
        message::put_parse(output, &prepared.key, &prepared.sql, &prepared.type_oids);
        self.pending.push(PendingResponse::Parse {
            key: Some(prepared.key.clone()),
            is_requested,
        });
    }

    /// Prepares a statement on the connection unless it is prepared there. Returns
    /// its name on the connection.
    pub(super) fn ensure_prepared(&mut self, name: &str, parsed_unnamed: bool) -> Option<String> {
        if !name.is_empty() {
            let prepared = self.session.statements.get(name).cloned()?;
            if !self.connection.prepared.contains(&prepared.key) {
                self.put_parse(&prepared, false);
                // Later messages of this request may use the statement.
                self.connection.prepared.insert(prepared.key.clone());
            }
            return Some(prepared.key.to_string());
        }
        let prepared = self.session.unnamed.clone()?;
        if !parsed_unnamed && self.connection.unnamed.as_ref() != Some(&prepared.key) {
            let output = self.connection.wire.output();
            message::put_parse(output, "", &prepared.sql, &prepared.type_oids);
            self.pending.push(PendingResponse::Parse {
                key: None,
                is_requested: false,
            });
            self.connection.unnamed = Some(prepared.key);
        }
        Some(String::new())
    }

    pub(super) fn queue_bind(&mut self, frame: &Frame, parsed_unnamed: bool) -> Result<()> {
        let mut bind: Bind = message::read(frame)?;
        let name = bind.statement_name.clone().unwrap_or_default();
        let key = self.ensure_prepared(&name, parsed_unnamed);
        self.pending.push(PendingResponse::Bind);
        if name.is_empty() {
            self.connection.wire.push(&frame.bytes);
            return Ok(());
        }
        bind.statement_name = key;
        Ok(bind.encode(self.connection.wire.output())?)
    }

    pub(super) fn queue_describe(&mut self, frame: &Frame, parsed_unnamed: bool) -> Result<()> {
        let named = request::named_statement(frame)?;
        let key = named.and_then(|name| self.ensure_prepared(&name, parsed_unnamed));
        self.pending.push(PendingResponse::Describe);
        match key.filter(|key| !key.is_empty()) {
            Some(key) => {
                let describe = Describe::new(request::STATEMENT, Some(key));
                Ok(describe.encode(self.connection.wire.output())?)
            }
            None => {
                self.connection.wire.push(&frame.bytes);
                Ok(())
            }
        }
    }

    pub(super) fn queue_close(&mut self, frame: &Frame) -> Result<()> {
        match request::named_statement(frame)? {
            Some(name) => {
                self.session.statements.remove(&name);
                self.pending.push(PendingResponse::OwnClose);
            }
            None => {
                self.pending.push(PendingResponse::Close);
                self.connection.wire.push(&frame.bytes);
            }
        }
        Ok(())
    }

    pub(super) async fn send(&mut self) -> Result<()> {
        if self.connection.wire.output().len() <= CONCURRENT_WRITE_MIN_BYTES {
            return self.connection.wire.flush().await;
        }
        // The endpoint may answer before it has read the whole request. Writing
        // and reading at the same time avoids a deadlock.
        let bytes = std::mem::take(self.connection.wire.output());
        let mut stream = self.connection.wire.stream().clone();
        compio::runtime::spawn(async move {
            // The reading side detects a broken connection.
            let _ = stream.write_all(bytes).await;
        })
        .detach();
        Ok(())
    }
}
